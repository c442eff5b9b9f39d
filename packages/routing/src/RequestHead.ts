/** Parses the headers of a request once into typed fields. */
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as HeaderRules from './HeaderRules.js';
import type * as ServerPicker from './ServerPicker.js';

/** Head of a caller's request. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  /** Path with the query, unchanged. */
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  /** Time that the caller will wait; undefined if it gives none. */
  readonly callerTimeoutMs: Core.Millis | undefined;
  readonly bearerKey: string | undefined;
  readonly prompt: ServerPicker.Prompt | undefined;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  /** Whether the caller resumes a stream, also if the id of its last event is malformed. */
  readonly isResumption: boolean;
  /** Id of the request that brought the first event of the resumed stream, if it is well-formed. */
  readonly resumedRequestId: string | undefined;
}

/** A request id; a header that is repeated contains a comma. */
const REQUEST_ID = /^[!-+\--~]{1,200}$/;

const BEARER = /^bearer +(\S+) *$/i;

function parseNumber(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || text.trim() === '' || !Number.isFinite(value) ? undefined : value;
}

function getHeader(headers: http.IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Parses the headers that describe a prompt; returns undefined if the request has none. */
export function parsePrompt(
  partsText: string | undefined,
  countsText: string | undefined,
): ServerPicker.Prompt | undefined {
  const [inputText, outputText] = countsText?.split(',') ?? [];
  const inputTokens = parseNumber(inputText);
  if (inputTokens === undefined) return undefined;
  const parts = (partsText ?? '').split(',').flatMap((part) => {
    const [id = '', tokens] = part.trim().split(':');
    return id === '' ? [] : [{ id, tokens: parseNumber(tokens) ?? 0 }];
  });
  return { inputTokens, maxOutputTokens: parseNumber(outputText) ?? 0, parts };
}

/** Reads the head of a request. */
export function readRequestHead(
  request: http.IncomingMessage,
  names: HeaderRules.HeaderNames,
): RequestHead {
  const { headers } = request;
  const resumedRequestId = getHeader(headers, names.resumedRequestId);
  return {
    bearerKey: BEARER.exec(headers.authorization ?? '')?.[1],
    callerTimeoutMs: parseNumber(getHeader(headers, names.timeLeft)),
    host: headers.host ?? '',
    isResumption: getHeader(headers, names.lastEventId) !== undefined,
    lastEventId: parseNumber(getHeader(headers, names.lastEventId)),
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    prompt: parsePrompt(
      getHeader(headers, names.promptParts),
      getHeader(headers, names.tokenCounts),
    ),
    rawHeaders: request.rawHeaders,
    requestId: getHeader(headers, names.requestId) ?? '',
    resumedRequestId: resumedRequestId !== undefined && REQUEST_ID.test(resumedRequestId)
      ? resumedRequestId
      : undefined,
  };
}
