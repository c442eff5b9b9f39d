import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as ChatBody from '../../ChatBody.js';

const { describe, expect, test } = Vitest;

const valueArbitrary = fc.oneof(
  fc.constantFrom(undefined, null, true, 1, 1.5, 'text', {}, []),
  fc.record({ include_usage: fc.constantFrom(undefined, null, true, 1) }),
);
const messageArbitrary = fc.oneof(
  valueArbitrary,
  fc.record({ content: valueArbitrary, role: fc.constantFrom('user', 1, undefined) }),
);
const bodyArbitrary = fc.oneof(valueArbitrary, fc.record({
  max_completion_tokens: valueArbitrary,
  max_tokens: valueArbitrary,
  messages: fc.oneof(valueArbitrary, fc.array(messageArbitrary, { maxLength: 3 })),
  model: fc.constantFrom('m', 1, undefined),
  stream: valueArbitrary,
  stream_options: valueArbitrary,
}));

describe('isChatBody', () => {
  test('accepts exactly the bodies that the schema accepts, and the others are described', () => {
    fc.assert(fc.property(bodyArbitrary, (candidate) => {
      const isAccepted = ChatBody.isChatBody(candidate);
      expect(isAccepted).toBe(ChatBody.isDecodable(candidate));
      expect(ChatBody.describeProblems(candidate) === '').toBe(isAccepted);
    }), { numRuns: 5_000 });
  });
});
