/**
 * One attempt at a call with an idempotency key, as a state machine without effects. A call may be
 * sent only after its claim was read back from the log as the holder of the key; the answer of an
 * append decides nothing.
 */
import type * as Core from '@berylyoke/core';
import type * as ClaimTable from './ClaimTable.js';
import type * as OnceRecords from './OnceRecords.js';

/** Why an attempt ends without having run. */
export type RefusalReason = 'abandoned' | 'body-differs' | 'held' | 'not-read-back' | 'unknown';

/** What the caller of the machine has to do. */
export type CallAction = { readonly _tag: 'AppendClaim' }
  | { readonly _tag: 'AppendRelease' }
  | { readonly _tag: 'AppendResult'; readonly outcome: OnceRecords.Outcome }
  /** Gives the stored answer to the caller. */
  | { readonly _tag: 'Replay'; readonly answer: OnceRecords.StoredAnswer }
  | { readonly _tag: 'Refuse'; readonly reason: RefusalReason }
  /** The key is held by another claim, which may have a result soon. */
  | { readonly _tag: 'WaitForHolder' }
  /** Hands the right to send to the caller. */
  | { readonly _tag: 'Permit' }
  /** The first byte may be written in this event-loop turn. */
  | { readonly _tag: 'Send' };

/** What happens to an attempt. */
export type CallEvent = { readonly _tag: 'ReadBackTimedOut' }
  /** The attempt begins; `standing` comes from the local table, which may lag. */
  | { readonly _tag: 'Started'; readonly standing: ClaimTable.Standing }
  /** The append was answered. Proves nothing. */
  | { readonly _tag: 'AppendAnswered' }
  /** The claim came back; `standing` is the key's and `holds` whether this claim holds it. */
  | {
    readonly _tag: 'ReadBack';
    readonly standing: ClaimTable.Standing;
    readonly holds: boolean;
  }
  /** The forwarder is about to write, in this event-loop turn. */
  | { readonly _tag: 'SendRequested' }
  /** The attempt ended before a byte was sent. */
  | { readonly _tag: 'Abandoned' }
  | { readonly _tag: 'Finished'; readonly outcome: OnceRecords.Outcome };

/** `idle`: no claim yet; `claiming`: not read back; `permitted`: may send; `sent`; `ended`. */
export type CallPhase = 'claiming' | 'ended' | 'idle' | 'permitted' | 'sent';

/** State of one attempt. */
export interface ClaimCall {
  readonly phase: CallPhase;
  /** Monotonic time before the append of the claim, in milliseconds. */
  readonly claimedMs: Core.Millis;
  /**
   * Time after `claimedMs` in which the call may be sent, in milliseconds. It is well below the
   * window, because a claim that has expired in the log may have been followed by another winner.
   */
  readonly sendWithinMs: Core.Millis;
}

/** Next state and what to do. */
export interface CallStep {
  readonly call: ClaimCall;
  readonly actions: readonly CallAction[];
}

/** Creates the state of an attempt that has not begun. */
export function createClaimCall(sendWithinMs: Core.Millis): ClaimCall {
  return { claimedMs: 0, phase: 'idle', sendWithinMs };
}

const stay = (call: ClaimCall): CallStep => ({ actions: [], call });

const end = (call: ClaimCall, ...actions: readonly CallAction[]): CallStep => (
  { actions, call: { ...call, phase: 'ended' } }
);

const refuse = (reason: RefusalReason): CallAction => ({ _tag: 'Refuse', reason });

type StandingHandlers = {
  readonly [Tag in Exclude<ClaimTable.Standing['_tag'], 'Free'>]: (
    standing: Extract<ClaimTable.Standing, { readonly _tag: Tag }>,
  ) => CallAction;
};

const STANDING_HANDLERS: StandingHandlers = {
  Answered: ({ answer }) => ({ _tag: 'Replay', answer }),
  BodyDiffers: () => refuse('body-differs'),
  Held: () => ({ _tag: 'WaitForHolder' }),
  Unknown: () => refuse('unknown'),
};

function buildRepeatAction(standing: ClaimTable.Standing): CallAction {
  // A key that is free again was released between the claim and its read-back.
  if (standing._tag === 'Free') return { _tag: 'WaitForHolder' };
  const handle = STANDING_HANDLERS[standing._tag] as (found: ClaimTable.Standing) => CallAction;
  return handle(standing);
}

type EventHandlers = {
  readonly [Tag in CallEvent['_tag']]: (
    call: ClaimCall,
    event: Extract<CallEvent, { readonly _tag: Tag }>,
    nowMs: Core.Millis,
  ) => CallStep;
};

function isInTime({ claimedMs, sendWithinMs }: ClaimCall, nowMs: Core.Millis): boolean {
  return nowMs - claimedMs <= sendWithinMs;
}

const abandon = (call: ClaimCall, reason: RefusalReason): CallStep => (
  end(call, { _tag: 'AppendRelease' }, refuse(reason))
);

const EVENT_HANDLERS: EventHandlers = {
  Abandoned: (call) => {
    if (call.phase === 'idle') return end(call, refuse('abandoned'));
    const unsent = call.phase === 'claiming' || call.phase === 'permitted';
    return unsent ? abandon(call, 'abandoned') : stay(call);
  },
  AppendAnswered: stay,
  Finished: (call, { outcome }) => (
    call.phase === 'sent' ? end(call, { _tag: 'AppendResult', outcome }) : stay(call)
  ),
  ReadBack: (call, { holds, standing }, nowMs) => {
    if (call.phase !== 'claiming') return stay(call);
    // A void claim stands in the way of later ones until it is released.
    if (!holds) return end(call, { _tag: 'AppendRelease' }, buildRepeatAction(standing));
    if (!isInTime(call, nowMs)) return abandon(call, 'not-read-back');
    return { actions: [{ _tag: 'Permit' }], call: { ...call, phase: 'permitted' } };
  },
  ReadBackTimedOut: (call) => (
    call.phase === 'claiming' ? abandon(call, 'not-read-back') : stay(call)
  ),
  SendRequested: (call, _, nowMs) => {
    if (call.phase !== 'permitted') return stay(call);
    if (!isInTime(call, nowMs)) return abandon(call, 'abandoned');
    return { actions: [{ _tag: 'Send' }], call: { ...call, phase: 'sent' } };
  },
  Started: (call, { standing }, nowMs) => {
    if (call.phase !== 'idle') return stay(call);
    if (standing._tag !== 'Free') return end(call, buildRepeatAction(standing));
    return {
      actions: [{ _tag: 'AppendClaim' }], call: { ...call, claimedMs: nowMs, phase: 'claiming' },
    };
  },
};

/** Steps an attempt by one event. Events that come too late change nothing. */
export function reduceCall(call: ClaimCall, event: CallEvent, nowMs: Core.Millis): CallStep {
  const handle = EVENT_HANDLERS[event._tag] as (
    state: ClaimCall,
    found: CallEvent,
    at: Core.Millis,
  ) => CallStep;
  return handle(call, event, nowMs);
}
