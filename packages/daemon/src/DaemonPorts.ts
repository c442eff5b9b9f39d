/**
 * Interfaces through which the request path asks the parts of the daemon. Each has a plain default
 * and is replaced by a part that registers itself.
 */
import type * as Core from '@berylyoke/core';
import type * as Duties from '@berylyoke/duties';
import type * as Effect from 'effect/Effect';
import type * as RequestTypes from './RequestTypes.js';
import type * as Refusal from './Refusal.js';

/** Admission, queue and choice of backend server. */
export interface DispatchPort {
  /**
   * Waits for permission to run on a server, or refuses at once. `excluded` names servers that
   * this request has failed on.
   */
  readonly acquire: (
    request: RequestTypes.ClassifiedRequest,
    excluded: readonly string[],
  ) => Promise<RequestTypes.Dispatch | Refusal.Refusal>;
}

/** Answer of a plain service, small enough to be stored for a repeat. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Right to run a keyed non-repeatable call; exactly one of the functions is called. */
export interface ClaimTicket {
  readonly _tag: 'ClaimTicket';
  /**
   * Asks for the right to send in the event-loop turn of the first write; on false nothing may be
   * sent, and the claim was released.
   */
  readonly requestSend: () => boolean;
  /** The service answered; resolves when the answer is stored or cannot be stored in time. */
  readonly complete: (answer: StoredResponse) => Promise<void>;
  /** A byte may have been sent and no answer came. */
  readonly markUnknown: () => Promise<void>;
  /** Nothing was sent. */
  readonly release: () => Promise<void>;
}

/** Answer of an earlier run of the same call. */
export interface RepeatedAnswer {
  readonly _tag: 'RepeatedAnswer';
  readonly answer: StoredResponse;
}

/** Claims for calls that may not be repeated. */
export interface ClaimPort {
  readonly claim: (
    request: RequestTypes.ClassifiedRequest,
    idempotencyKey: string,
  ) => Promise<ClaimTicket | Refusal.Refusal | RepeatedAnswer>;
}

/** Use of one request, counted when its answer ends. */
export interface RequestUsage {
  readonly account: string;
  readonly class: string;
  readonly model: string | undefined;
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Usage counters. */
export interface UsagePort {
  readonly record: (usage: RequestUsage) => void;
}

/** Decides whether keyed requests can be accepted at this moment. */
export interface KeyGuardPort {
  /** Undefined where keys are known to be current; a refusal where a withdrawal may be missed. */
  readonly check: (nowMs: Core.Millis) => Refusal.Refusal | undefined;
}

/** Counters of this daemon and its peers that are not in the log yet, for heartbeats. */
export interface CountersPort {
  readonly buildHeartbeat: () => Uint8Array;
  readonly applyHeartbeat: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Appends the last known counters of an incarnation that has ended. */
  readonly applyLostPeer: (source: Core.Writer) => void;
}

/** What membership knows of incarnations. */
export interface IncarnationPort {
  /** True only where the incarnation is known to have ended. */
  readonly isEnded: (writer: Core.Writer) => boolean;
}

/** Right to act as the reporter of usage, as its lease gives it. */
export interface ReportingPort {
  /** Undefined where this daemon does not hold the lease. */
  readonly getAuthority: () => { readonly fence: number; readonly remainingMs: Core.Millis }
  | undefined;
}

/** Duties that one daemon at a time carries out. */
export interface DutiesPort {
  /** Undefined where this daemon does not hold the lease; reads the clock on each call. */
  readonly getAuthority: (lease: Duties.LeaseName) => Duties.LeaseAuthority | undefined;
  readonly registerListener: (
    lease: Duties.LeaseName,
    listener: Duties.LeaseListener,
  ) => Core.Cleanup;
  /** Sends a fenced order; fails with `not-holder` where this daemon may not order. */
  readonly sendOrder: (target: Duties.OrderTarget) => Effect.Effect<string, Duties.OrderError>;
  /** Orders whose outcome is not known yet; nothing is ordered before they are settled. */
  readonly listOpenOrders: () => readonly Duties.OpenOrder[];
}

/** Budget of further attempts, as a share of requests. */
export interface RetryBudgetPort {
  /** Counts a first attempt. */
  readonly addRequest: () => void;
  /**
   * Takes a further attempt from the budget. Resuming a stream is charged but never denied: the
   * caller already has a part of the answer, and only the rest is generated again.
   */
  readonly claim: (isResume: boolean) => boolean;
}

/** All ports of the path. */
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

/** Ports with their registration. */
export interface DaemonPortRegistry {
  readonly get: <K extends keyof DaemonPorts>(name: K) => DaemonPorts[K];
  /** Replaces a port; the undo brings back the one before. */
  readonly register: <K extends keyof DaemonPorts>(name: K, port: DaemonPorts[K]) => Core.Cleanup;
}

/** Creates the registry from the defaults. */
export function createPortRegistry(defaults: DaemonPorts): DaemonPortRegistry {
  let current = defaults;
  return {
    get: (name) => current[name],
    register: (name, port) => {
      const before = current[name];
      current = { ...current, [name]: port };
      return () => {
        current = { ...current, [name]: before };
      };
    },
  };
}
