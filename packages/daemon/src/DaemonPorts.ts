/**
 * Interfaces through which request handling and the components of the daemon use each other. Each
 * port has a simple default, which a component replaces when it registers.
 */
import type * as Core from '@berylyoke/core';
import type * as Duties from '@berylyoke/duties';
import type * as Effect from 'effect/Effect';
import type * as RequestTypes from './RequestTypes.js';
import type * as Refusal from './Refusal.js';

/** Admission, queueing and choice of the backend server. */
export interface DispatchPort {
  /**
   * Waits for permission to run an attempt on a server, or for a refusal. `excluded` lists the ids
   * of the servers on which this request has failed.
   */
  readonly acquire: (
    request: RequestTypes.ClassifiedRequest,
    excluded: readonly string[],
  ) => Promise<RequestTypes.Dispatch | Refusal.Refusal>;
}

/** Response of a plain service, small enough to be stored for repeats of the call. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/**
 * Permission to run a non-repeatable call with an idempotency key. Exactly one of `complete`,
 * `markUnknown` and `release` takes effect.
 */
export interface ClaimTicket {
  readonly _tag: 'ClaimTicket';
  /**
   * Checks the permission to send; called in the event-loop turn of the first write. If it returns
   * false, nothing may be sent, and the claim has been released.
   */
  readonly requestSend: () => boolean;
  /** Stores the response of the service; resolves when it is stored or storing has timed out. */
  readonly complete: (answer: StoredResponse) => Promise<void>;
  /** Records that the outcome is unknown: a byte may have been sent and no response came. */
  readonly markUnknown: () => Promise<void>;
  /** Releases the claim, because nothing was sent. */
  readonly release: () => Promise<void>;
}

/** Stored response of an earlier execution of the same call. */
export interface RepeatedAnswer {
  readonly _tag: 'RepeatedAnswer';
  readonly answer: StoredResponse;
}

/** Claims of calls that may run at most once. */
export interface ClaimPort {
  readonly claim: (
    request: RequestTypes.ClassifiedRequest,
    idempotencyKey: string,
  ) => Promise<ClaimTicket | Refusal.Refusal | RepeatedAnswer>;
}

/** Usage of one request, recorded when its response ends. */
export interface RequestUsage {
  readonly account: string;
  readonly class: string;
  readonly model: string | undefined;
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Usage counters of client accounts. */
export interface UsagePort {
  readonly record: (usage: RequestUsage) => void;
}

/** Decides whether requests with a key can be accepted now. */
export interface KeyGuardPort {
  /** Undefined if the keys are known to be current; a refusal if a withdrawal may be missing. */
  readonly check: (nowMs: Core.Millis) => Refusal.Refusal | undefined;
}

/** Exchange, in heartbeats, of the usage counters that are not in the log yet. */
export interface CountersPort {
  readonly buildHeartbeat: () => Uint8Array;
  readonly applyHeartbeat: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Appends to the log the last known counters of a peer's incarnation that has ended. */
  readonly applyLostPeer: (source: Core.Writer) => void;
}

/** State of the incarnations of daemons, as membership knows it. */
export interface IncarnationPort {
  /** True only if the incarnation is known to have ended. */
  readonly isEnded: (writer: Core.Writer) => boolean;
}

/** Authority to report usage, which the reporting lease grants. */
export interface ReportingPort {
  /** Undefined if this daemon does not hold the lease. */
  readonly getAuthority: () => { readonly fence: number; readonly remainingMs: Core.Millis }
  | undefined;
}

/** Duties that one daemon at a time carries out. */
export interface DutiesPort {
  /** Undefined if this daemon does not hold the lease; checks the lease against the clock. */
  readonly getAuthority: (lease: Duties.LeaseName) => Duties.LeaseAuthority | undefined;
  readonly registerListener: (
    lease: Duties.LeaseName,
    listener: Duties.LeaseListener,
  ) => Core.Cleanup;
  /** Sends a fenced order; fails with reason `not-holder` if this daemon may not send orders. */
  readonly sendOrder: (target: Duties.OrderTarget) => Effect.Effect<string, Duties.OrderError>;
  /** Orders whose outcome is not known yet; no new order is sent before they are resolved. */
  readonly listOpenOrders: () => readonly Duties.OpenOrder[];
}

/** Budget that limits retries to a share of the requests. */
export interface RetryBudgetPort {
  /** Records the first attempt of a request, which adds to the budget. */
  readonly addRequest: () => void;
  /**
   * Takes one retry from the budget; false if it is denied. Resuming a stream is charged but never
   * denied: the caller already has a part of the response, and only the rest is generated.
   */
  readonly claim: (isResume: boolean) => boolean;
}

/** All ports of a daemon. */
export interface DaemonPorts {
  readonly counters: CountersPort;
  readonly dispatch: DispatchPort;
  readonly duties: DutiesPort;
  readonly incarnations: IncarnationPort;
  readonly keyGuard: KeyGuardPort;
  readonly once: ClaimPort;
  readonly reporting: ReportingPort;
  readonly retry: RetryBudgetPort;
  readonly usage: UsagePort;
}

/** Registry of the current ports. */
export interface DaemonPortRegistry {
  readonly get: <K extends keyof DaemonPorts>(name: K) => DaemonPorts[K];
  /** Replaces a port; the cleanup restores the previous one. */
  readonly register: <K extends keyof DaemonPorts>(name: K, port: DaemonPorts[K]) => Core.Cleanup;
}

/** Creates a registry that starts with the default ports. */
export function createPortRegistry(defaults: DaemonPorts): DaemonPortRegistry {
  let current = defaults;
  return {
    get: (name) => current[name],
    register: (name, port) => {
      const previous = current[name];
      current = { ...current, [name]: port };
      return () => {
        current = { ...current, [name]: previous };
      };
    },
  };
}
