/**
 * Every kind of server response, for every kind of route and state of the caller's response. Guards
 * against a response that is read as the first one when it is not, against statuses that promise
 * "not run" for a request that may have run, and against responses that only the handler of
 * unexpected errors deals with.
 */
import {
  describe, expect, test,
} from 'vitest';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const SECOND_EVENT = 'id: 2\ndata: b\n\n';
const COMMENT = ': open\n\n';

/** Time after which a server breaks off, so that its bytes arrive first. */
const BREAK_DELAY_MS = 10;

const STATUSES = [
  101, 200, 204, 205, 206, 301, 304, 400, 404, 408, 409, 421, 425, 429,
  500, 501, 502, 503, 504, 599,
];
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([101, 204, 205, 304]);
const STATUSES_WITHOUT_LENGTH: ReadonlySet<number> = new Set([101, 204, 304]);

/** Statuses with which a server or a daemon promises that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

interface Response {
  readonly status: number;
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
}

const RESPONSES: readonly Response[] = STATUSES.flatMap((status) => (
  [true, false].flatMap((isSigned) => [true, false].map((isEventStream) => (
    { isEventStream, isSigned, status }
  )))
));

function getBody({ isEventStream, status }: Response): string {
  if (STATUSES_WITHOUT_BODY.has(status)) return '';
  return isEventStream ? SECOND_EVENT : '{"error":"x"}';
}

function createResponder(response: Response): PathHarness.RawResponder {
  const { isEventStream, isSigned, status } = response;
  const body = getBody(response);
  return (socket, id) => socket.write([
    `HTTP/1.1 ${status} Any`,
    `X-Id: ${id}`,
    ...isSigned ? ['X-Signature: s'] : [],
    `Content-Type: ${isEventStream ? 'text/event-stream' : 'application/json'}`,
    ...STATUSES_WITHOUT_LENGTH.has(status) ? [] : [`Content-Length: ${body.length}`],
    '',
    body,
  ].join('\r\n'));
}

function createBreakingResponder(sent: string): PathHarness.RawResponder {
  return (socket, id) => {
    socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n${sent}`);
    setTimeout(() => socket.resetAndDestroy(), BREAK_DELAY_MS);
  };
}

const respondWhole: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(socket, id, SECOND_EVENT)
);

/** What a caller gets: status, body, and whether the response was cut. */
type Outcome = readonly [number | undefined, string, boolean];

interface Result {
  readonly response: Response;
  readonly outcome: Outcome;
  readonly defects: number;
}

async function callOnce(
  response: Response,
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route>,
): Promise<Result> {
  const { close, path } = await PathHarness.startPath(responders, route);
  const { body, isTruncated, status } = await path.call();
  const isRefusal = body.includes('berylyoke_refusal');
  close();
  return {
    defects: path.defects.length,
    outcome: [status, isRefusal ? 'refusal' : body, isTruncated],
    response,
  };
}

/** Runs one call for each response, in groups of one status. */
async function callAll(
  run: (response: Response) => Promise<Result>,
  responses = RESPONSES,
): Promise<readonly Result[]> {
  const [first, ...rest] = [...new Set(responses.map(({ status }) => status))];
  if (first === undefined) return [];
  const results = await Promise.all(responses.filter(({ status }) => status === first).map(run));
  const others = responses.filter(({ status }) => rest.includes(status));
  return [...results, ...await callAll(run, others)];
}

function buildResults(getOutcome: (response: Response) => Outcome): readonly Result[] {
  return RESPONSES.map((response) => (
    { defects: 0, outcome: getOutcome(response), response }
  ));
}

const isSuccess = ({ status }: Response): boolean => status >= 200 && status < 300;

const passOn = (response: Response): Outcome => [response.status, getBody(response), false];

const WHOLE_OUTCOME: Outcome = [200, SECOND_EVENT, false];

/** Says what the caller of a request gets that must not run twice. */
function getOutcomeOfOnce(response: Response): Outcome {
  const { isSigned, status } = response;
  // The server says itself that it is another one, and did not run the request.
  if (status === 421) return WHOLE_OUTCOME;
  if (status === 101 || NOT_RUN_STATUSES.has(status)) return [502, 'refusal', false];
  return isSuccess(response) && !isSigned ? [502, 'refusal', false] : passOn(response);
}

/** Says what the caller of a request gets that another server may repeat. */
function getOutcomeOfRepeatable(response: Response): Outcome {
  const { isSigned, status } = response;
  if (status === 101 || status === 421 || status >= 500) return WHOLE_OUTCOME;
  return isSuccess(response) && !isSigned ? WHOLE_OUTCOME : passOn(response);
}

function isRestOfStream(response: Response): boolean {
  return isSuccess(response) && response.isSigned && response.isEventStream
    && !STATUSES_WITHOUT_BODY.has(response.status);
}

const RESUMABLE = { isResumable: true, kind: 'stream' as const };

const ONCE_ROUTES: Readonly<Record<string, Partial<Routing.Route>>> = {
  'a call that may run once': { kind: 'once' },
  'a stream that may not be resumed': { kind: 'stream' },
};
const REPEATABLE_ROUTES: Readonly<Record<string, Partial<Routing.Route>>> = {
  'a call that may be repeated': { kind: 'repeatable' },
  'a stream that may be resumed': RESUMABLE,
};
const SENT_PARTS: Readonly<Record<string, string>> = {
  'a comment': COMMENT, 'an event': FIRST_EVENT,
};

describe('the first response of a server to', () => {
  Object.entries(ONCE_ROUTES).forEach(([name, route]) => test(`${name}, by status`, async () => {
    const results = await callAll((response) => (
      callOnce(response, [createResponder(response), respondWhole], { ...route, maxAttempts: 1 })
    ));
    expect(results).toEqual(buildResults(getOutcomeOfOnce));
  }));

  Object.entries(REPEATABLE_ROUTES).forEach(([name, route]) => (
    test(`${name}, by status`, async () => {
      const results = await callAll((response) => (
        callOnce(response, [createResponder(response), respondWhole], route)
      ));
      expect(results).toEqual(buildResults(getOutcomeOfRepeatable));
    })
  ));
});

describe('the response to a stream that is resumed after', () => {
  Object.entries(SENT_PARTS).forEach(([name, sent]) => {
    test(`${name}, with a further server`, async () => {
      const results = await callAll((response) => callOnce(
        response,
        [createBreakingResponder(sent), createResponder(response), respondWhole],
        { ...RESUMABLE, maxAttempts: 3 },
      ));
      expect(results).toEqual(buildResults(() => [200, sent + SECOND_EVENT, false]));
    });

    test(`${name}, without a further server`, async () => {
      const results = await callAll((response) => callOnce(
        response,
        [createBreakingResponder(sent), createResponder(response)],
        { ...RESUMABLE, maxAttempts: 2 },
      ));
      expect(results).toEqual(buildResults((response) => (
        isRestOfStream(response) ? [200, sent + SECOND_EVENT, false] : [200, sent, true]
      )));
    });
  });
});

// Guards against an event that the caller gets twice.
test('a stream that broke off after an event without id is not resumed', async () => {
  const { close, path } = await PathHarness.startPath(
    [createBreakingResponder('data: a\n\n'), respondWhole],
    RESUMABLE,
  );
  expect(await path.call()).toMatchObject({ body: 'data: a\n\n', isTruncated: true });
  close();
});
