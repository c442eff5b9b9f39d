import { expect, test } from 'vitest';
import * as RequestFingerprint from '../../RequestFingerprint.js';

const REQUEST: RequestFingerprint.IdentifiedRequest = {
  account: { name: 'shop', priority: undefined },
  body: Buffer.from('{"item":5}'),
  head: {
    host: 'shop.example', method: 'POST', path: '/orders/new?draft=1', prompt: undefined,
  },
};

function hashVariant(
  { head, ...others }: Partial<Omit<RequestFingerprint.IdentifiedRequest, 'head'>> & {
    readonly head?: Partial<RequestFingerprint.IdentifiedRequest['head']>;
  },
): string {
  return RequestFingerprint.hashRequest({
    ...REQUEST, ...others, head: { ...REQUEST.head, ...head },
  });
}

function createPrompt(...ids: readonly string[]): RequestFingerprint.IdentifiedRequest['head'] {
  return {
    ...REQUEST.head,
    prompt: { inputTokens: 10, maxOutputTokens: 5, parts: ids.map((id) => ({ id, tokens: 5 })) },
  };
}

test('repeats of a request share its fingerprint', () => {
  expect(hashVariant({ account: { name: 'shop', priority: 3 } }))
    .toBe(RequestFingerprint.hashRequest(REQUEST));
});

// Guards against a sound request that is taken for the one that crashes servers.
test('requests that differ in account, method, host, path, query, body or prompt do not', () => {
  const fingerprints = [
    {},
    { account: undefined },
    { account: { name: 'other', priority: undefined } },
    { body: Buffer.from('{"item":6}') },
    { body: Buffer.alloc(0) },
    { head: { method: 'PUT' } },
    { head: { host: 'other.example' } },
    { head: { path: '/orders/new?draft=2' } },
    { head: { path: '/orders/new' } },
    { head: createPrompt('a', 'b') },
    { head: createPrompt('a', 'c') },
  ].map(hashVariant);
  expect(new Set(fingerprints).size).toBe(fingerprints.length);
});
