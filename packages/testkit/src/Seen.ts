/** Bounded list of the requests that a fake received. */
import type * as http from 'node:http';

/** Newest requests that are kept. */
const SEEN_LIMIT = 20_000;

/** A request as it arrived, without its body. */
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** List of requests. */
export interface SeenList {
  readonly add: (request: SeenRequest) => void;
  readonly list: () => readonly SeenRequest[];
}

/** Creates an empty list. */
export function createSeenList(): SeenList {
  const seen: SeenRequest[] = [];
  return {
    add: (request) => {
      seen.push(request);
      if (seen.length > SEEN_LIMIT * 2) seen.splice(0, SEEN_LIMIT);
    },
    list: () => seen.slice(-SEEN_LIMIT),
  };
}
