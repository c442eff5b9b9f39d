/** Bounded list of the requests that a fake received. */
import type * as http from 'node:http';

/** Newest requests that are kept. */
const SEEN_LIMIT = 20_000;

/** A request as it arrived, without its body. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** List of requests. */
export interface RequestList {
  readonly add: (request: ReceivedRequest) => void;
  readonly list: () => readonly ReceivedRequest[];
}

/** Creates an empty list. */
export function createRequestList(): RequestList {
  const seen: ReceivedRequest[] = [];
  return {
    add: (request) => {
      seen.push(request);
      if (seen.length > SEEN_LIMIT * 2) seen.splice(0, SEEN_LIMIT);
    },
    list: () => seen.slice(-SEEN_LIMIT),
  };
}
