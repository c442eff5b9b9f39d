/** Fake of the platform's list of VMs. Operations `list` and `set` support faults. */
import * as Schema from 'effect/Schema';
import * as DelayedValue from './DelayedValue.js';
import * as FakeServer from './FakeServer.js';

const HTTP_OK = 200;

/** One VM; `address` is `host:port`. */
export const VmEntry = Schema.Struct({
  id: Schema.String,
  address: Schema.String,
  dataCentre: Schema.String,
  role: Schema.Literal('entry', 'engine', 'service'),
  kind: Schema.Literal('cheap', 'dear'),
  state: Schema.Literal('live', 'leaving'),
  models: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  service: Schema.optionalWith(Schema.String, { default: () => '' }),
  priceCents: Schema.optionalWith(Schema.Number, { default: () => 0 }),
});
export type VmEntry = typeof VmEntry.Type;

/** Options of the fake. */
export interface FakeVmListOptions {
  readonly port?: number;
  /** Delay until a change of the entries appears in answers, in milliseconds. */
  readonly lagMs?: number;
  readonly entries?: readonly VmEntry[];
}

/** A running fake of the VM list. */
export interface FakeVmList extends FakeServer.FakeServer {
  readonly setEntries: (entries: readonly VmEntry[]) => void;
}

const decodeEntries = Schema.decodeUnknownSync(Schema.Array(VmEntry));

/** Starts the fake; `POST /vms` replaces the entries. */
export async function startFakeVmList(
  { entries = [], lagMs = 0, port = 0 }: FakeVmListOptions = {},
): Promise<FakeVmList> {
  const delayedEntries = DelayedValue.createDelayedValue<readonly VmEntry[]>(entries, lagMs);
  const server = await FakeServer.startFakeServer([
    {
      handle: () => ({ body: delayedEntries.get(), status: HTTP_OK }),
      name: 'list',
      pattern: /^GET \/vms$/,
    },
    {
      handle: ({ text }) => {
        delayedEntries.set(decodeEntries(JSON.parse(text)));
        return { body: {}, status: HTTP_OK };
      },
      name: 'set',
      pattern: /^POST \/vms$/,
    },
  ], port);
  return { ...server, setEntries: delayedEntries.set };
}
