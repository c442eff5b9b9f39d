import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as EventFramer from '../../EventFramer.js';

const MAX_BYTES = 4_096;

function frame(chunks: readonly string[]): string[] {
  const framer = EventFramer.createEventFramer(MAX_BYTES);
  return chunks.flatMap((chunk) => (
    framer.push(Buffer.from(chunk)).events.map(({ bytes, id }) => `${id}:${bytes.toString()}`)
  ));
}

describe('framing of events', () => {
  test('does not depend on how the stream is divided into chunks', () => {
    const line = fc.constantFrom('id: 1', 'id: 22', 'data: a', 'data', ': note', '', '\r', 'x\r');
    const text = fc.array(line, { maxLength: 30 }).map((lines) => `${lines.join('\n')}\n`);
    fc.assert(fc.property(text, fc.array(fc.nat(200), { maxLength: 20 }), (whole, cuts) => {
      const ends = [...new Set([...cuts, whole.length])].filter((cut) => cut <= whole.length)
        .sort((a, b) => a - b);
      const chunks = ends.map((end, index) => whole.slice(ends[index - 1] ?? 0, end));
      const framed = frame([whole]);
      expect(frame(chunks)).toEqual(framed);
      expect(frame([...whole])).toEqual(framed);
      const joined = framed.map((each) => each.slice(each.indexOf(':') + 1)).join('');
      expect(whole.startsWith(joined)).toBe(true);
    }), { numRuns: 500 });
  });

  test('distinguishes data from comments, which keep a connection open without progress', () => {
    const framer = EventFramer.createEventFramer(MAX_BYTES);
    const { events } = framer.push(Buffer.from(': ping\n\ndata: a\n\nid: 2\ndata\n\nid: 3\n\n'));
    expect(events.map(({ hasData, id }) => [hasData, id])).toEqual([
      [false, undefined], [true, undefined], [true, 2], [false, 3],
    ]);
  });

  test('ignores an id that is no safe integer, because a stream cannot be resumed after it', () => {
    expect(frame([`id: ${'9'.repeat(400)}\ndata: a\n\n`])[0]).toMatch(/^undefined:/);
  });

  // Guards against a rescan of the whole event with each chunk, which blocked the event loop for
  // 25 s on 32 MB.
  test.each([
    ['without an empty line', 'data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n'],
    ['of empty lines only', '\n'],
    ['of one line', 'x'],
  ])('rejects a stream %s at the size limit, whatever follows', (_, piece) => {
    const framer = EventFramer.createEventFramer(MAX_BYTES);
    const bytes = Buffer.from(piece.repeat(10));
    let pushed = 0;
    let isTooLong = false;
    while (!isTooLong && pushed < 10 * MAX_BYTES) {
      isTooLong = framer.push(bytes).isTooLong;
      pushed += bytes.length;
    }
    expect(isTooLong).toBe(true);
    expect(pushed).toBeLessThanOrEqual(MAX_BYTES + bytes.length);
  });

  // Guards against recursion per line: one chunk of 10,000 short lines overflowed the stack.
  test('frames a chunk of a million lines', () => {
    const framer = EventFramer.createEventFramer(16 * 1_024 * 1_024);
    const lines = Buffer.from('data: a\n'.repeat(1_000_000));
    expect(framer.push(lines)).toEqual({ events: [], isTooLong: false });
    expect(framer.push(Buffer.from('\n')).events).toHaveLength(1);
  });

  test('scans each byte once if an event arrives one byte at a time', () => {
    const framer = EventFramer.createEventFramer(4 * 1_024 * 1_024);
    const byte = Buffer.from('x');
    // Scanning or copying all earlier bytes with each new one would take hours.
    for (let index = 0; index < 1_000_000; index += 1) framer.push(byte);
    expect(framer.takeRemainder().bytes).toHaveLength(1_000_000);
  });
});
