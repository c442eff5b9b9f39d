/** Schemas of the identifiers that several packages share. */
import * as Schema from 'effect/Schema';

/** Name of a daemon, taken from its settings; it stays the same across restarts. */
export const DaemonId = Schema.String.pipe(Schema.pattern(/^[a-z0-9][a-z0-9.-]{0,62}$/));
export type DaemonId = typeof DaemonId.Type;

/** Identifies one run of a daemon: its start in Unix milliseconds and a random suffix. */
export const Incarnation = Schema.String.pipe(Schema.pattern(/^[0-9]+-[0-9a-f]+$/));
export type Incarnation = typeof Incarnation.Type;

/** Name of a data centre. */
export const DataCentre = Schema.String.pipe(Schema.pattern(/^[a-z0-9][a-z0-9-]{0,62}$/));
export type DataCentre = typeof DataCentre.Type;

/** Name of a region, a group of data centres. */
export const Region = DataCentre;
export type Region = typeof Region.Type;

/** Name of a client account, a plan, a class, a route or a model in the operator's lists. */
export const ListName = Schema.String.pipe(Schema.pattern(/^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}$/));
export type ListName = typeof ListName.Type;

/** Public part of a client's API key. */
export const KeyId = Schema.String.pipe(Schema.pattern(/^[a-z0-9]{6,32}$/));
export type KeyId = typeof KeyId.Type;

/** Identifies the process that wrote a log record. */
export const Writer = Schema.Struct({ daemonId: Schema.String, incarnation: Schema.String });
export type Writer = typeof Writer.Type;
