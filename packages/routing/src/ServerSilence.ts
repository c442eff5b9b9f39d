/**
 * Detects servers that stopped responding. The entry of a crashed server stays in the store for
 * seconds, and its open connections accept requests without a response. Streams reveal the crash
 * first, because a working engine sends the next event of some stream every few tens of
 * milliseconds.
 */
import type * as Core from '@berylyoke/core';

/** Activity of this daemon's requests at a server. */
export interface ServerActivity {
  readonly inFlight: number;
  /** Streams that have begun, have not ended and are not paused by their caller. */
  readonly activeStreams: number;
  /** Time of the last byte from the server, or of the first request after the server was idle. */
  readonly lastActivityMs: Core.Millis;
  /** Mean response time of requests without a prompt; undefined before the first one. */
  readonly meanResponseMs: Core.Millis | undefined;
}

/**
 * Longest silence while streams are active: several times the pause that the prefill of a long
 * prompt causes in other streams. After a false positive, the server gets no new requests until its
 * next byte.
 */
const MAX_STREAM_SILENCE_MS = 500;

/** Longest silence without active streams, in mean response times and with a minimum. */
const MAX_SILENCE_RESPONSE_TIMES = 8;
const MIN_SILENCE_MS = 300;

/** Checks whether a server has been silent for longer than a working one would be. */
export function isSilent(
  {
    lastActivityMs, inFlight, meanResponseMs, activeStreams,
  }: ServerActivity,
  nowMs: Core.Millis,
): boolean {
  const silentMs = nowMs - lastActivityMs;
  if (activeStreams > 0) return silentMs > MAX_STREAM_SILENCE_MS;
  if (inFlight === 0 || meanResponseMs === undefined) return false;
  return silentMs > Math.max(MIN_SILENCE_MS, meanResponseMs * MAX_SILENCE_RESPONSE_TIMES);
}
