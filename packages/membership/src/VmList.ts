/** The platform's lagging list of live and leaving VMs: port and HTTP adapter. */
import * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

/** One VM of the list; `address` is `host:port`, `priceCents` the price of an hour. */
export const Vm = Schema.Struct({
  id: Schema.String,
  address: Schema.String,
  dataCentre: Schema.String,
  role: Schema.Literal('engine', 'entry', 'service'),
  kind: Schema.Literal('cheap', 'dear'),
  state: Schema.Literal('leaving', 'live'),
  models: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  service: Schema.optional(Schema.String),
  priceCents: Schema.optionalWith(Schema.Number, { default: () => 0 }),
});
export type Vm = typeof Vm.Type;

/** The list did not answer, or its answer is not a list of VMs. */
export class VmListError extends Data.TaggedError('VmListError')<{
  readonly reason: 'invalid' | 'status' | 'unavailable';
  readonly detail: string;
}> {
  get message(): string {
    return `VM list is not available: ${this.detail}`;
  }
}

/** Interface of the platform's list. */
export interface VmListPort {
  readonly read: () => Effect.Effect<readonly Vm[], VmListError>;
}

const HTTP_OK = 200;
const decodeVms = Schema.decodeUnknown(Schema.Array(Vm));

/**
 * Creates the adapter over HTTP. `baseUrl` has no trailing slash. The list is read every second and
 * changes every half minute at the target size, so an unchanged answer is not checked again.
 */
export function createHttpVmList(baseUrl: string, timeoutMs: Core.Millis): VmListPort {
  let known: { readonly text: string; readonly vms: readonly Vm[] } | undefined;
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
        if (known !== undefined && known.text === text) return Effect.succeed(known.vms);
        return decodeVms(body).pipe(
          Effect.tap((vms) => Effect.sync(() => {
            known = { text, vms };
          })),
          Effect.mapError(({ message }) => (
            new VmListError({ detail: message, reason: 'invalid' })
          )),
        );
      }),
    ),
  };
}
