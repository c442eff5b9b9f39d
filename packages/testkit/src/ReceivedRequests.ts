/** Bounded list of the requests that a fake received, for assertions of tests. */
import type * as http from 'node:http';

/** Number of the newest requests that `list` returns. */
const MAX_REQUESTS = 20_000;

/** A received request without its body. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** Received requests, the oldest first. */
export interface RequestList {
  readonly add: (request: ReceivedRequest) => void;
  readonly list: () => readonly ReceivedRequest[];
}

/** Creates an empty list. */
export function createRequestList(): RequestList {
  const requests: ReceivedRequest[] = [];
  return {
    add: (request) => {
      requests.push(request);
      if (requests.length > MAX_REQUESTS * 2) requests.splice(0, MAX_REQUESTS);
    },
    list: () => requests.slice(-MAX_REQUESTS),
  };
}
