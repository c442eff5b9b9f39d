import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as SseReader from '../../SseReader.js';

const { describe, expect, test } = Vitest;

const ID = 'r1';
const format = (chunk: unknown): string => `data: ${JSON.stringify(chunk)}\n\n`;
const token = (content: string, id = ID): string => (
  format({ choices: [{ delta: { content } }], id })
);
const closing = format({ choices: [{ delta: {}, finish_reason: 'stop' }], id: ID });
const usage = format({ choices: [], id: ID, usage: { completion_tokens: 2, prompt_tokens: 3 } });

function readAll(text: string, cuts: readonly number[] = []): readonly SseReader.SseBatch[] {
  const reader = SseReader.createSseReader(ID);
  const data = Buffer.from(text);
  const edges = [0, ...cuts.map((cut) => cut % data.length).sort((a, b) => a - b), data.length];
  return edges.slice(1).map((edge, index) => reader.read(data.subarray(edges[index], edge)));
}

const joinForward = (batches: readonly SseReader.SseBatch[]): string => (
  batches.map(({ forward }) => forward.toString()).join('')
);
const countTokens = (batches: readonly SseReader.SseBatch[]): number => (
  batches.reduce((sum, { tokens }) => sum + tokens, 0)
);

describe('the reader of server-sent events', () => {
  test('gives the same events wherever the network cuts the stream', () => {
    const text = `: ping\n\n${token('a')}${token('b')}${closing}${usage}data: [DONE]\n\n`;
    fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 12 }), (cuts) => {
      const batches = readAll(text, cuts);
      expect(joinForward(batches)).toBe(token('a') + token('b') + closing);
      expect(countTokens(batches)).toBe(2);
      expect(batches.filter(({ state }) => state === 'done')).toHaveLength(1);
    }));
  });

  test('gives the usage chunk after the closing chunk', () => {
    const text = token('a') + closing + usage;
    const batches = readAll(`${text}data: [DONE]\n\n`, [text.indexOf(usage), text.length]);
    const given = batches.map(({ forward, usageEvent }) => (
      forward.toString() + (usageEvent?.toString() ?? '')
    ));
    expect(given.join('')).toBe(text);
    expect(batches[2]?.usage).toEqual({ inputTokens: 3, outputTokens: 2 });
  });

  test('holds the closing chunk back, which a resumed stream would repeat', () => {
    expect(joinForward(readAll(token('a') + closing))).toBe(token('a'));
  });

  test('passes on nothing that follows a chunk of another request', () => {
    const batches = readAll(token('a') + token('x', 'other') + token('b'));
    expect(joinForward(batches)).toBe(token('a'));
    expect(batches[0]?.state).toBe('invalid');
  });

  test('accepts a chunk with spaces after its colons', () => {
    const spaced = 'data: {"id": "r1", "choices": [{"delta": {"content": "a"}}]}\n\n';
    const empty = 'data: {"id": "r1", "choices": [{"delta": {"content": ""}}]}\n\n';
    expect(countTokens(readAll(spaced + empty))).toBe(1);
  });

  test('does not take an id inside the text of a token for the id of the chunk', () => {
    const batches = readAll(token('"id":"r1"', 'other'));
    expect(batches[0]).toMatchObject({ state: 'invalid', tokens: 0 });
  });

  test('gives up on an event without end before it fills the memory', () => {
    expect(readAll('x'.repeat(2_000_000))[0]?.state).toBe('invalid');
  });
});
