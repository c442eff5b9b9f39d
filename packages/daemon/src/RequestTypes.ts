/** What the filters of the request path pass on, from the received request to its answer. */
import type * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as Tracing from './Tracing.js';

/** A request as received, with its whole body. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly receivedAtMs: Core.Millis;
  readonly method: string;
  readonly path: string;
  /** Part of the address after `?`; empty when there is none. */
  readonly query?: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborted when the caller leaves or the request has to end. */
  readonly signal: AbortSignal;
  /** Span of the request; absent where a request does not come from a caller. */
  readonly trace?: Tracing.TraceSpan;
}

/** The caller: undefined on an open route. */
export interface Caller {
  readonly keyId: string;
  readonly account: Config.ClientAccount;
  readonly plan: Config.Plan;
}

/** A chat completion after parsing. */
export interface ChatTarget {
  readonly _tag: 'ChatTarget';
  readonly model: string;
  readonly stream: boolean;
  /** The caller asked for a usage chunk at the end of the stream. */
  readonly includeUsage: boolean;
  readonly maxTokens: number | undefined;
  /** Leading text of the prompt, for prefix affinity. */
  readonly promptPrefix: string;
  readonly promptBytes: number;
  /** Body for the engine. */
  readonly payload: Buffer;
}

/** A call to a plain service. */
export interface RouteTarget {
  readonly _tag: 'RouteTarget';
  readonly route: Config.Route;
  readonly idempotencyKey: string | undefined;
}

/** Where a request goes. */
export type Target = ChatTarget | RouteTarget;

/** A request with its caller, class and target. */
export interface ClassifiedRequest {
  readonly received: ReceivedRequest;
  readonly caller: Caller | undefined;
  readonly class: Config.RequestClass;
  readonly target: Target;
  /** False where the request may run at most once. */
  readonly repeatable: boolean;
  /** Called when the request leaves the queue for a backend server. */
  readonly onDispatched?: () => void;
}

/** A backend server as the path sees it. */
export interface BackendServer {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly role: 'engine' | 'service';
  readonly kind: 'cheap' | 'dear';
  readonly state: 'leaving' | 'live';
  readonly models: readonly string[];
  readonly service: string | undefined;
  readonly priceCents: number;
}

/** What became of an attempt on a backend server. */
export interface AttemptOutcome {
  /** `busy` when the server answered that it has no room, which is no failure of the server. */
  readonly result: 'busy' | 'cancelled' | 'failed' | 'ok' | 'silent';
  readonly firstTokenMs: Core.Millis | undefined;
  readonly durationMs: Core.Millis;
  readonly outputTokens: number;
}

/** Permission to run one attempt on a server; `settle` is called exactly once. */
export interface Dispatch {
  readonly server: BackendServer;
  readonly settle: (outcome: AttemptOutcome) => void;
  /** Tells the decisions of progress, so that the charge follows the real length. */
  readonly observeTokens?: (tokens: number) => void;
}
