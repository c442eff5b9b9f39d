/**
 * Tells from the course of one attempt whether its server began to answer the request without harm
 * or ended under it, and reports that for the traits of the request.
 */
import type * as Core from '@berylyoke/core';
import type * as PathContext from './PathContext.js';
import * as ServerTable from './ServerTable.js';

/** Observes an attempt to have a request answered by one server. */
export interface CrashEvidence {
  /** Records that the server began to respond. */
  readonly observeHead: () => void;
  /** Records an event of a stream; clears the traits once the stream has gone on for a while. */
  readonly observeEvent: () => void;
  /** Records that the response is whole. */
  readonly observeAnswer: () => void;
  /** Records that the connection ended by itself; reports a crash unless the stream had gone on. */
  readonly observeEnd: () => void;
  /** Whether the traits were reported as answered. */
  readonly isAnswered: () => boolean;
}

/**
 * Time from the first event of a stream after which its server is taken to have begun the answer
 * without harm.
 */
const SOUND_START_MS = 500;

/** Starts to observe an attempt as its request is sent. */
export function createCrashEvidence(
  { clock, crashReports }: Pick<PathContext.PathContext, 'clock' | 'crashReports'>,
  traits: readonly string[],
  incarnation: ServerTable.ServerIncarnation,
): CrashEvidence {
  const server = ServerTable.formatIncarnation(incarnation);
  const sentMs = clock.readMonotonic();
  const computeElapsed = (): Core.Millis => clock.readMonotonic() - sentMs;
  let firstEventMs: Core.Millis | undefined;
  let isAnswered = false;
  const hasGoneOn = (): boolean => (
    firstEventMs !== undefined && clock.readMonotonic() - firstEventMs >= SOUND_START_MS
  );
  const observeAnswer = (): void => {
    if (isAnswered) return;
    isAnswered = true;
    crashReports.observeAnswer(traits);
  };
  return {
    isAnswered: () => isAnswered,
    observeAnswer,
    observeEnd: () => {
      if (hasGoneOn()) return;
      crashReports.observeCrash(traits, server, computeElapsed());
    },
    observeEvent: () => {
      firstEventMs ??= clock.readMonotonic();
      if (hasGoneOn()) observeAnswer();
    },
    observeHead: () => crashReports.observeServerAnswer(server, computeElapsed()),
  };
}
