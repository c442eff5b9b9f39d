/** All parts of a daemon, in the order in which they register. */
import * as ConfigPart from './ConfigPart.js';
import type * as DaemonContext from './DaemonContext.js';
import * as OncePart from './OncePart.js';
import * as ServersPart from './ServersPart.js';
import * as UsagePart from './UsagePart.js';

/** Parts by name; they are undone in reverse order. */
export const PARTS: readonly DaemonContext.RegisterPart[] = [
  ConfigPart.registerConfigPart,
  ServersPart.registerServersPart,
  OncePart.registerOncePart,
  UsagePart.registerUsagePart,
];
