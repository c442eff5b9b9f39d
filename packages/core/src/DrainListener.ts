/**
 * Closes an HTTP listener without resetting new connections. When a listener closes, the kernel
 * resets the connections in its accept queue, which the process has not accepted yet. After a long
 * event loop iteration, the queue holds every connection that arrived meanwhile. Timers run before
 * the event loop polls for new connections, so closing the listener from a timer would reset them.
 * The close therefore waits for an iteration that has emptied the queue.
 */
import type * as http from 'node:http';
import * as Clock from './Clock.js';

/** An iteration shorter than this leaves hardly any time for a connection to arrive unnoticed. */
const QUIET_ITERATION_MS = 2;

/**
 * Time after which an iteration without a new connection is enough, however long it was: on a busy
 * machine none is short.
 */
const MAX_QUIET_WAIT_MS = 500;

/** Time after which the listener is closed in any case, as a share of the time for the drain. */
const MAX_WAIT_SHARE = 0.5;

/** Interval at which connections that became idle are closed. */
const IDLE_CHECK_INTERVAL_MS = 50;

/**
 * Waits for a short event loop iteration in which no connection was accepted. An empty iteration
 * means an empty accept queue, because each iteration accepts only one connection.
 */
function waitForQuietIteration(server: http.Server, maxWaitMs: Clock.Millis): Promise<void> {
  const startMs = Clock.systemClock.readMonotonic();
  let acceptedCount = 0;
  const countConnection = (): void => {
    acceptedCount += 1;
  };
  server.on('connection', countConnection);
  return new Promise<void>((resolve) => {
    const checkIteration = (previousMs: Clock.Millis, previousCount: number): void => {
      const nowMs = Clock.systemClock.readMonotonic();
      const waitedMs = nowMs - startMs;
      const isShort = nowMs - previousMs < QUIET_ITERATION_MS || waitedMs > MAX_QUIET_WAIT_MS;
      if ((isShort && acceptedCount === previousCount) || waitedMs > maxWaitMs) resolve();
      else setImmediate(checkIteration, nowMs, acceptedCount);
    };
    setImmediate(() => setImmediate(
      checkIteration,
      Clock.systemClock.readMonotonic(),
      acceptedCount,
    ));
  }).finally(() => server.off('connection', countConnection));
}

/**
 * Closes a listener. Resolves when every request in progress has been answered and its connection
 * is closed.
 *
 * @param timeoutMs time after which the remaining connections are destroyed
 */
export async function drainListener(server: http.Server, timeoutMs: Clock.Millis): Promise<void> {
  const startMs = Clock.systemClock.readMonotonic();
  await waitForQuietIteration(server, timeoutMs * MAX_WAIT_SHARE);
  const closed = new Promise((resolve) => {
    server.close(resolve);
  });
  // A response whose head was sent before the drain keeps its connection open, so connections that
  // become idle are closed here. setImmediate runs after the poll phase, which reads the requests
  // that have arrived, so no connection with an unread request is closed.
  const idleCheck = setInterval(() => {
    setImmediate(() => server.closeIdleConnections());
  }, IDLE_CHECK_INTERVAL_MS);
  const remainingMs = startMs + timeoutMs - Clock.systemClock.readMonotonic();
  const timeout = setTimeout(() => server.closeAllConnections(), Math.max(0, remainingMs));
  await closed;
  clearInterval(idleCheck);
  clearTimeout(timeout);
}
