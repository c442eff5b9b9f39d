/** The components of a daemon, in the order in which they are registered. */
import * as ConfigComponent from './ConfigComponent.js';
import type * as DaemonContext from './DaemonContext.js';
import * as DutiesComponent from './DutiesComponent.js';
import * as ClaimsComponent from './ClaimsComponent.js';
import * as MembershipComponent from './MembershipComponent.js';
import * as SchedulingComponent from './SchedulingComponent.js';
import * as ServersComponent from './ServersComponent.js';
import * as UsageComponent from './UsageComponent.js';

/** Registration functions of all components; the components are closed in reverse order. */
export const COMPONENTS: readonly DaemonContext.RegisterComponent[] = [
  ConfigComponent.registerConfigComponent,
  ServersComponent.registerServersComponent,
  SchedulingComponent.registerSchedulingComponent,
  ClaimsComponent.registerClaimsComponent,
  UsageComponent.registerUsageComponent,
  MembershipComponent.registerMembershipComponent,
  DutiesComponent.registerDutiesComponent,
];
