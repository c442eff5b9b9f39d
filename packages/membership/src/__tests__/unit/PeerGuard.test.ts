import { describe, expect, test } from 'vitest';
import * as PeerGuard from '../../PeerGuard.js';

const PIECE_COST = 128;

function buildMessage(length: number): Buffer {
  const bytes = Buffer.alloc(5 + length);
  bytes.writeUInt32BE(length, 1);
  return bytes;
}

describe('the bytes of an unfinished message', () => {
  // Guards against a crowd that leaves large messages unfinished.
  test('are counted until its last byte', () => {
    const counter = PeerGuard.createMessageCounter();
    const message = buildMessage(1_000);
    expect(counter.add(message.subarray(0, 400))).toBe(400 + PIECE_COST);
    expect(counter.add(message.subarray(400, -1))).toBe(1_004 + 2 * PIECE_COST);
    expect(counter.add(message.subarray(-1))).toBe(0);
  });

  // Guards against a peer that sends small messages for days and counts as a holder of bytes.
  test('are nothing after whole messages, however they are divided', () => {
    const bytes = Buffer.concat([buildMessage(3), buildMessage(0), buildMessage(700)]);
    const counter = PeerGuard.createMessageCounter();
    expect(counter.add(bytes)).toBe(0);
    const single = [...bytes].map((byte) => counter.add(Buffer.of(byte)));
    expect(single.at(-1)).toBe(0);
    expect(counter.add(buildMessage(9).subarray(0, 3))).toBe(3 + PIECE_COST);
  });
});
