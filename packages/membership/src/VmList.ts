/**
 * Port and HTTP adapter for the platform's list of live and leaving VMs. The list may lag behind
 * the actual state of the VMs.
 */
import * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';

/** `host:port`; a port out of range would make every connection to the VM throw. */
const Address = Schema.String.pipe(Schema.filter((address) => {
  const port = /^[^\s:]+:(\d+)$/.exec(address)?.[1];
  return port !== undefined && Core.isPort(port);
}));

/** One VM of the list; `address` is `host:port`, `priceCents` the price per hour in cents. */
export const Vm = Schema.Struct({
  id: Schema.String,
  address: Address,
  dataCentre: Schema.String,
  role: Schema.Literal('engine', 'entry', 'service'),
  kind: Schema.Literal('cheap', 'dear'),
  state: Schema.Literal('leaving', 'live'),
  models: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  service: Schema.optional(Schema.String),
  priceCents: Schema.optionalWith(Schema.NonNegative.pipe(Schema.finite()), { default: () => 0 }),
});
export type Vm = typeof Vm.Type;

/** Reading the VM list failed: no answer, an error status, or a body that is not a VM list. */
export class VmListError extends Data.TaggedError('VmListError')<{
  readonly reason: 'invalid' | 'status' | 'unavailable';
  readonly detail: string;
}> {
  get message(): string {
    return `VM list is not available: ${this.detail}`;
  }
}

/** Port to the VM list of the platform. */
export interface VmListPort {
  /** Reads the current list; fails with `VmListError`. */
  readonly read: () => Effect.Effect<readonly Vm[], VmListError>;
}

const HTTP_OK = 200;
const decodeEntries = Schema.decodeUnknown(Schema.Array(Schema.Unknown));
const decodeVm = Schema.decodeUnknownOption(Vm);

/**
 * Creates the HTTP adapter. `baseUrl` has no trailing slash. Entries that describe no usable VM are
 * ignored, so that one of them does not hide the others; `onIgnored` is called with their number
 * when the list has changed. At the target fleet size the list is
 * polled every second but changes only every half minute, so a body that equals the previous one is
 * not decoded again.
 */
export function createHttpVmList(
  baseUrl: string,
  timeoutMs: Core.Millis,
  onIgnored: (count: number) => void = () => undefined,
): VmListPort {
  let cached: { readonly text: string; readonly vms: readonly Vm[] } | undefined;
  return {
    read: () => Core.requestJson({ method: 'GET', timeoutMs, url: `${baseUrl}/vms` }).pipe(
      Effect.mapError((error) => (
        new VmListError({ detail: error.message, reason: 'unavailable' })
      )),
      Effect.flatMap(({ body, status }) => {
        if (status !== HTTP_OK) {
          return Effect.fail(new VmListError({ detail: `status ${status}`, reason: 'status' }));
        }
        const text = JSON.stringify(body);
        if (cached !== undefined && cached.text === text) return Effect.succeed(cached.vms);
        return decodeEntries(body).pipe(
          Effect.map((entries) => {
            const vms = entries.flatMap((entry) => Option.toArray(decodeVm(entry)));
            if (vms.length < entries.length) onIgnored(entries.length - vms.length);
            cached = { text, vms };
            return vms;
          }),
          Effect.mapError(({ message }) => (
            new VmListError({ detail: message, reason: 'invalid' })
          )),
        );
      }),
    ),
  };
}
