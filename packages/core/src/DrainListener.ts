/**
 * Closes an HTTP listener without cutting off callers. Connections that the kernel has accepted
 * and the process has not are reset when the listener closes; after a busy spell of the event loop
 * these are all that came in meanwhile. A timer is due before the event loop looks for new
 * connections, so the close waits for a turn of the loop that has just accepted what there was.
 */
import type * as http from 'node:http';
import * as Clock from './Clock.js';

/** Length of a turn in which hardly a connection can come in unseen. */
const QUIET_TURN_MS = 2;

/** Time after which the close no longer waits for such a turn. */
const MAX_WAIT_MS = 500;

/** How often connections that became idle are closed. */
const IDLE_CHECK_MS = 50;

/** Waits for a short turn of the event loop without a new connection; a turn accepts only one. */
function waitForQuietTurn(server: http.Server): Promise<void> {
  const startMs = Clock.systemClock.readMonotonic();
  let accepted = 0;
  const countConnection = (): void => {
    accepted += 1;
  };
  server.on('connection', countConnection);
  return new Promise<void>((resolve) => {
    const checkTurn = (beforeMs: Clock.Millis, acceptedBefore: number): void => {
      const nowMs = Clock.systemClock.readMonotonic();
      const isQuiet = nowMs - beforeMs < QUIET_TURN_MS && accepted === acceptedBefore;
      if (isQuiet || nowMs - startMs > MAX_WAIT_MS) resolve();
      else setImmediate(checkTurn, nowMs, accepted);
    };
    setImmediate(() => setImmediate(checkTurn, Clock.systemClock.readMonotonic(), accepted));
  }).finally(() => server.off('connection', countConnection));
}

/**
 * Closes a listener; resolves when every request in progress was answered.
 *
 * @param limitMs time after which the remaining connections are cut
 */
export async function drainListener(server: http.Server, limitMs: Clock.Millis): Promise<void> {
  await waitForQuietTurn(server);
  const closed = new Promise((resolve) => {
    server.close(resolve);
  });
  // An answer whose head was sent before the drain leaves its connection open. Requests that have
  // arrived are read before the check phase of the loop, so no connection with one is closed.
  const idle = setInterval(() => {
    setImmediate(() => server.closeIdleConnections());
  }, IDLE_CHECK_MS);
  const cut = setTimeout(() => server.closeAllConnections(), limitMs);
  await closed;
  clearInterval(idle);
  clearTimeout(cut);
}
