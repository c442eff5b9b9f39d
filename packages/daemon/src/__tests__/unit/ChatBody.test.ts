import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as ChatBody from '../../ChatBody.js';

const { describe, expect, test } = Vitest;

const value = fc.oneof(
  fc.constantFrom(undefined, null, true, 1, 1.5, 'text', {}, []),
  fc.record({ include_usage: fc.constantFrom(undefined, null, true, 1) }),
);
const message = fc.oneof(
  value,
  fc.record({ content: value, role: fc.constantFrom('user', 1, undefined) }),
);
const body = fc.oneof(value, fc.record({
  max_completion_tokens: value,
  max_tokens: value,
  messages: fc.oneof(value, fc.array(message, { maxLength: 3 })),
  model: fc.constantFrom('m', 1, undefined),
  stream: value,
  stream_options: value,
}));

describe('the check of a chat body by hand', () => {
  test('accepts exactly what the schema accepts and describes the rest', () => {
    fc.assert(fc.property(body, (candidate) => {
      const isAccepted = ChatBody.isChatBody(candidate);
      expect(isAccepted).toBe(ChatBody.isDecodable(candidate));
      expect(ChatBody.describeProblems(candidate) === '').toBe(isAccepted);
    }), { numRuns: 5_000 });
  });
});
