/** Types of a request at each stage, from the received request to the outcome of an attempt. */
import type * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as Tracing from './Tracing.js';

/** A request as received, with its complete body. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly receivedAtMs: Core.Millis;
  readonly method: string;
  readonly path: string;
  /** Query string without `?`; empty if there is none. */
  readonly query?: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborted when the caller disconnects or the daemon ends the request. */
  readonly signal: AbortSignal;
  /** Trace span of the request; absent if the request does not come from a caller. */
  readonly trace?: Tracing.TraceSpan;
}

/** An identified caller; requests on open routes have none. */
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
  /** True if the caller asked for a usage chunk at the end of the stream. */
  readonly includeUsage: boolean;
  readonly maxTokens: number | undefined;
  /** Leading text of the prompt, for prefix affinity. */
  readonly promptPrefix: string;
  readonly promptBytes: number;
  /** Body that is sent to the engine. */
  readonly payload: Buffer;
}

/** A call to a plain service. */
export interface RouteTarget {
  readonly _tag: 'RouteTarget';
  readonly route: Config.Route;
  readonly idempotencyKey: string | undefined;
}

/** Destination of a request: a model, or a plain service. */
export type Target = ChatTarget | RouteTarget;

/** A request with its caller, class and target. */
export interface ClassifiedRequest {
  readonly received: ReceivedRequest;
  readonly caller: Caller | undefined;
  readonly class: Config.RequestClass;
  readonly target: Target;
  /** False if the request may run at most once. */
  readonly repeatable: boolean;
  /** Called when the request leaves the queue for a backend server. */
  readonly onDispatched?: () => void;
}

/** A backend server, with the attributes that request handling needs. */
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

/** Outcome of an attempt on a backend server. */
export interface AttemptOutcome {
  /** `busy` if the server responded that it has no capacity, which is no failure of the server. */
  readonly result: 'busy' | 'cancelled' | 'failed' | 'ok' | 'silent';
  readonly firstTokenMs: Core.Millis | undefined;
  readonly durationMs: Core.Millis;
  readonly outputTokens: number;
}

/** Permission to run one attempt on a server; `settle` is called exactly once. */
export interface Dispatch {
  readonly server: BackendServer;
  readonly settle: (outcome: AttemptOutcome) => void;
  /**
   * Reports further output tokens to the scheduler, so that its estimates follow the actual length
   * of the response.
   */
  readonly observeTokens?: (tokens: number) => void;
}
