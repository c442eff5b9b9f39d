/**
 * One HTTP call to a backend server over Node's `http`. Callbacks and not effect: a relayed token
 * would otherwise pay for a fiber on every chunk.
 */
import type * as Core from '@berylyoke/core';
import * as http from 'node:http';

/** A call to a backend server. */
export interface BackendRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Undefined where a fresh connection is needed. */
  readonly agent: http.Agent | undefined;
  readonly connectTimeoutMs: Core.Millis;
  /** Longest time until the head of the answer. */
  readonly headTimeoutMs: Core.Millis;
  /** Undefined where the call goes on after its caller has left. */
  readonly signal: AbortSignal | undefined;
  /**
   * Asked on a fresh connection in the event-loop turn of the first write; on false nothing is
   * written and the call fails as not permitted.
   */
  readonly canSend?: (() => boolean) | undefined;
}

/** The call failed; `sent` is false where no byte can have left. */
export interface BackendFailure {
  readonly _tag: 'BackendFailure';
  readonly sent: boolean;
  readonly reason: 'aborted' | 'connection' | 'not-permitted' | 'silent';
}

/** Sends a call and resolves at the answer's head, or with the failure; never rejects. */
export function sendBackendRequest(
  call: BackendRequest,
): Promise<BackendFailure | http.IncomingMessage> {
  return new Promise((resolve) => {
    let sent = false;
    let isSilent = false;
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
    // An own listener costs a third of the `signal` option of `http.request`.
    const abort = (): void => {
      request.destroy();
    };
    call.signal?.addEventListener('abort', abort, { once: true });
    const headTimer = setTimeout(() => {
      isSilent = true;
      request.destroy();
    }, call.headTimeoutMs);
    const fail = (): void => {
      clearTimeout(headTimer);
      call.signal?.removeEventListener('abort', abort);
      const broken = isSilent ? 'silent' : 'connection';
      const reason = isPermitted ? broken : 'not-permitted';
      resolve({
        _tag: 'BackendFailure', reason: call.signal?.aborted === true ? 'aborted' : reason, sent,
      });
    };
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        sent = true;
        return;
      }
      const timer = setTimeout(() => request.destroy(), call.connectTimeoutMs);
      socket.once('connect', () => {
        clearTimeout(timer);
        // Node writes the waiting request after this listener, and nothing once destroyed.
        isPermitted = call.canSend?.() ?? true;
        if (isPermitted) sent = true;
        else request.destroy();
      });
      socket.once('close', () => clearTimeout(timer));
    });
    request.on('error', fail);
    // A destroyed request without an error emits only this event.
    request.on('close', fail);
    request.on('response', (answer) => {
      clearTimeout(headTimer);
      answer.once('close', () => call.signal?.removeEventListener('abort', abort));
      resolve(answer);
    });
    // A caller that left while the request was queued has fired its event already.
    if (call.signal?.aborted === true) abort();
    else request.end(call.body);
  });
}

/** Tells a failure from an answer. */
export function isBackendFailure(
  value: BackendFailure | http.IncomingMessage,
): value is BackendFailure {
  return '_tag' in value;
}
