/**
 * Sends one HTTP call to a backend server with Node's `http`. Uses callbacks instead of Effect,
 * which would run a fiber for every chunk of a relayed stream.
 */
import * as Core from '@berylyoke/core';
import * as http from 'node:http';

/** A call to a backend server. */
export interface BackendRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Undefined if the call needs a new connection. */
  readonly agent: http.Agent | undefined;
  readonly connectTimeoutMs: Core.Millis;
  /** Longest time until the head of the response. */
  readonly headTimeoutMs: Core.Millis;
  /** Undefined if the call continues after its caller has disconnected. */
  readonly signal: AbortSignal | undefined;
  /**
   * Called on a new connection in the event-loop turn of the first write; if it returns false,
   * nothing is written and the call fails as not permitted.
   */
  readonly canSend?: (() => boolean) | undefined;
}

/** A failed call; `sent` is false if no byte can have been sent. */
export interface BackendFailure {
  readonly _tag: 'BackendFailure';
  readonly sent: boolean;
  readonly reason: 'aborted' | 'connection' | 'not-permitted' | 'silent';
}

/**
 * Sends a call. Resolves with the response once its head is received, or with the failure. Rejects
 * only with an unexpected error of a callback, which also ends the call.
 */
export function sendBackendRequest(
  call: BackendRequest,
): Promise<BackendFailure | http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let sent = false;
    let hasTimedOut = false;
    let isPermitted = true;
    const [host, port] = call.address.split(':');
    const request = http.request({
      agent: call.agent ?? false,
      headers: { ...call.headers, 'content-length': call.body.length },
      host,
      method: call.method,
      path: call.path,
      port: Number(port),
    });
    const handleError = (error: unknown): void => {
      reject(error);
      request.destroy();
    };
    // Adding a listener here costs a third of using the `signal` option of `http.request`.
    const handleAbort = (): void => {
      request.destroy();
    };
    call.signal?.addEventListener('abort', handleAbort, { once: true });
    const headTimer = setTimeout(() => {
      hasTimedOut = true;
      request.destroy();
    }, call.headTimeoutMs);
    const handleFailure = (): void => {
      clearTimeout(headTimer);
      call.signal?.removeEventListener('abort', handleAbort);
      const sendFailure = hasTimedOut ? 'silent' : 'connection';
      const reason = isPermitted ? sendFailure : 'not-permitted';
      resolve({
        _tag: 'BackendFailure', reason: call.signal?.aborted === true ? 'aborted' : reason, sent,
      });
    };
    request.on('socket', Core.withErrorHandler((socket) => {
      if (!socket.connecting) {
        sent = true;
        return;
      }
      const timer = setTimeout(() => request.destroy(), call.connectTimeoutMs);
      socket.once('connect', Core.withErrorHandler(() => {
        clearTimeout(timer);
        // Node writes the pending request after this listener returns, and writes nothing if the
        // request has been destroyed.
        isPermitted = call.canSend?.() ?? true;
        if (isPermitted) sent = true;
        else request.destroy();
      }, handleError));
      socket.once('close', () => clearTimeout(timer));
    }, handleError));
    request.on('error', handleFailure);
    // A request that is destroyed without an error emits only `close`.
    request.on('close', handleFailure);
    request.on('response', Core.withErrorHandler((response) => {
      if (!Core.isFinalStatus(response.statusCode ?? 0)) {
        request.destroy();
        return;
      }
      clearTimeout(headTimer);
      response.once('close', () => call.signal?.removeEventListener('abort', handleAbort));
      resolve(response);
    }, handleError));
    // If the caller disconnected while the request was queued, the signal fired its event before
    // the listener was added.
    if (call.signal?.aborted === true) handleAbort();
    else request.end(call.body);
  });
}

/** Checks whether the result of a call is a failure. */
export function isBackendFailure(
  value: BackendFailure | http.IncomingMessage,
): value is BackendFailure {
  return '_tag' in value;
}
