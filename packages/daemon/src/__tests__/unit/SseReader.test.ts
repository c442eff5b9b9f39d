import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as SseReader from '../../SseReader.js';

const { describe, expect, test } = Vitest;

const ID = 'r1';
const formatEvent = (chunk: unknown): string => `data: ${JSON.stringify(chunk)}\n\n`;
const token = (content: string, id = ID): string => (
  formatEvent({ choices: [{ delta: { content } }], id })
);
const finishEvent = formatEvent({ choices: [{ delta: {}, finish_reason: 'stop' }], id: ID });
const usageChunk = formatEvent({
  choices: [], id: ID, usage: { completion_tokens: 2, prompt_tokens: 3 },
});

function readAll(text: string, splits: readonly number[] = []): readonly SseReader.SseBatch[] {
  const reader = SseReader.createSseReader(ID);
  const data = Buffer.from(text);
  const boundaries = [
    0,
    ...splits.map((split) => split % data.length).sort((a, b) => a - b),
    data.length,
  ];
  return boundaries.slice(1)
    .map((end, index) => reader.read(data.subarray(boundaries[index], end)));
}

const joinForward = (batches: readonly SseReader.SseBatch[]): string => (
  batches.map(({ forward }) => forward.toString()).join('')
);
const countTokens = (batches: readonly SseReader.SseBatch[]): number => (
  batches.reduce((sum, { tokens }) => sum + tokens, 0)
);

describe('the reader of server-sent events', () => {
  test('returns the same events wherever the network splits the stream', () => {
    const text = `: ping\n\n${token('a')}${token('b')}${finishEvent}${usageChunk}data: [DONE]\n\n`;
    fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 12 }), (splits) => {
      const batches = readAll(text, splits);
      expect(joinForward(batches)).toBe(token('a') + token('b') + finishEvent);
      expect(countTokens(batches)).toBe(2);
      expect(batches.filter(({ state }) => state === 'done')).toHaveLength(1);
    }));
  });

  test('returns the usage chunk after the chunk with the finish reason', () => {
    const text = token('a') + finishEvent + usageChunk;
    const batches = readAll(`${text}data: [DONE]\n\n`, [text.indexOf(usageChunk), text.length]);
    const forwarded = batches.map(({ forward, usageEvent }) => (
      forward.toString() + (usageEvent?.toString() ?? '')
    ));
    expect(forwarded.join('')).toBe(text);
    expect(batches[2]?.usage).toEqual({ inputTokens: 3, outputTokens: 2 });
  });

  test('holds back the chunk with the finish reason, which a resumed stream would repeat', () => {
    expect(joinForward(readAll(token('a') + finishEvent))).toBe(token('a'));
  });

  test('forwards nothing after a chunk of another request', () => {
    const batches = readAll(token('a') + token('x', 'other') + token('b'));
    expect(joinForward(batches)).toBe(token('a'));
    expect(batches[0]?.state).toBe('invalid');
  });

  test('accepts a chunk with spaces after its colons', () => {
    const tokenEvent = 'data: {"id": "r1", "choices": [{"delta": {"content": "a"}}]}\n\n';
    const emptyEvent = 'data: {"id": "r1", "choices": [{"delta": {"content": ""}}]}\n\n';
    expect(countTokens(readAll(tokenEvent + emptyEvent))).toBe(1);
  });

  test('does not mistake an id inside the text of a token for the id of the chunk', () => {
    const batches = readAll(token('"id":"r1"', 'other'));
    expect(batches[0]).toMatchObject({ state: 'invalid', tokens: 0 });
  });

  test('reports an event without end as invalid before it fills the memory', () => {
    expect(readAll('x'.repeat(2_000_000))[0]?.state).toBe('invalid');
  });
});
