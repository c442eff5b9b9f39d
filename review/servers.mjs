/** Stand-ins for backend servers and callers. */
import * as http from 'node:http';

/** Starts an HTTP server on a free port; resolves when it listens. */
export async function startHttpServer(host, handle) {
  const server = http.createServer(handle);
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
    port: server.address().port,
  };
}

/** Returns the headers that every answer of a server has. */
export function createAnswerHeaders(request, extra = {}) {
  return {
    'x-berylyoke-request-id': request.headers['x-berylyoke-request-id'],
    'x-berylyoke-server-stamp': 'stamp',
    ...extra,
  };
}

/** Answers a request after some time as a sound plain server does. */
export function answerPlain(request, response, workMs) {
  request.resume();
  setTimeout(() => {
    response.writeHead(200, createAnswerHeaders(request, { 'content-type': 'text/plain' }));
    response.end('done');
  }, workMs);
}

/**
 * Sends a request and resolves with how it ended: a status, or `closed` with the reason. `isKept`
 * tells whether the connection had carried a request before. `maxGapMs` is the time without a byte
 * after which the caller leaves.
 */
export function sendRequest({
  agent,
  body,
  daemon,
  headers = {},
  maxGapMs = Infinity,
  method = 'GET',
  path,
  requestId,
  timeLimitMs,
}) {
  const startMs = performance.now();
  return new Promise((resolve) => {
    let gapTimer;
    let limitTimer;
    const settle = (request, end) => {
      clearTimeout(gapTimer);
      clearTimeout(limitTimer);
      resolve({
        elapsedMs: performance.now() - startMs, end, isKept: request.reusedSocket, requestId,
      });
    };
    const request = http.request({
      agent: agent ?? false,
      headers: {
        authorization: 'Bearer key-1',
        host: 'shop.example',
        'x-berylyoke-deadline-ms': String(timeLimitMs),
        'x-berylyoke-request-id': requestId,
        ...headers,
      },
      host: daemon.host,
      method,
      path,
      port: daemon.entryPort,
    });
    const leave = (reason) => {
      settle(request, `left:${reason}`);
      request.destroy();
    };
    const awaitByte = () => {
      clearTimeout(gapTimer);
      if (maxGapMs !== Infinity) gapTimer = setTimeout(() => leave('gap'), maxGapMs);
    };
    limitTimer = setTimeout(() => leave('time limit'), timeLimitMs);
    awaitByte();
    request.on('error', (error) => settle(request, `closed:${error.code}`));
    request.on('response', (response) => {
      response.on('data', awaitByte);
      response.on('error', () => settle(request, 'closed:midway'));
      response.on('end', () => settle(
        request,
        response.complete ? String(response.statusCode) : 'closed:midway',
      ));
    });
    request.end(body);
  });
}

/** Counts how requests ended. */
export function countEnds(results) {
  const ends = new Map();
  results.forEach(({ end }) => ends.set(end, (ends.get(end) ?? 0) + 1));
  return [...ends].sort().map(([end, count]) => `${end}: ${count}`).join(', ');
}
