/**
 * Tells a server that went dark from one that works. A crashed server keeps its entry for seconds
 * and its kept connections take requests without an answer. Streams show it first: an engine that
 * works sends the next event of one of them every few ten milliseconds.
 */
import type * as Core from '@berylyoke/core';

/** What this daemon has under way at a server. */
export interface ServerActivity {
  readonly inFlight: number;
  /** Streams of which an event has come and whose end has not. */
  readonly activeStreams: number;
  /** Newest byte from the server, or start of the first request after nothing was under way. */
  readonly lastActivityMs: Core.Millis;
  /** Mean time of whole answers; undefined before the first one. */
  readonly meanResponseMs: Core.Millis | undefined;
}

/**
 * Silence of running streams: several times the pause that reading a long prompt beside them makes.
 * A server that is taken for dark wrongly is passed over until its next byte.
 */
const MAX_STREAM_SILENCE_MS = 500;

/** Silence of plain requests, in mean times of an answer, and at least. */
const MAX_SILENCE_RESPONSES = 8;
const MIN_SILENCE_MS = 300;

/** Checks whether a server has been silent for longer than one that works. */
export function isSilent(
  {
    lastActivityMs, inFlight, meanResponseMs, activeStreams,
  }: ServerActivity,
  nowMs: Core.Millis,
): boolean {
  const silentMs = nowMs - lastActivityMs;
  if (activeStreams > 0) return silentMs > MAX_STREAM_SILENCE_MS;
  if (inFlight === 0 || meanResponseMs === undefined) return false;
  return silentMs > Math.max(MIN_SILENCE_MS, meanResponseMs * MAX_SILENCE_RESPONSES);
}
