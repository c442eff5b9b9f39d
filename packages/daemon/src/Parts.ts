/** All parts of a daemon, in the order in which they register. */
import * as ConfigPart from './ConfigPart.js';
import type * as DaemonContext from './DaemonContext.js';
import * as DutiesPart from './DutiesPart.js';
import * as OncePart from './OncePart.js';
import * as MembershipPart from './MembershipPart.js';
import * as SchedulingPart from './SchedulingPart.js';
import * as ServersPart from './ServersPart.js';
import * as UsagePart from './UsagePart.js';

/** Parts by name; they are undone in reverse order. */
export const PARTS: readonly DaemonContext.RegisterPart[] = [
  ConfigPart.registerConfigPart,
  ServersPart.registerServersPart,
  SchedulingPart.registerSchedulingPart,
  OncePart.registerOncePart,
  UsagePart.registerUsagePart,
  MembershipPart.registerMembershipPart,
  DutiesPart.registerDutiesPart,
];
