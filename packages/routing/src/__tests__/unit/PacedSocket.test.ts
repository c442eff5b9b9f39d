/**
 * Guards against a long read that is processed at once, however many pieces it has, and against
 * bytes that are lost, out of order, or handed to the next request because they had to wait.
 */
import { describe, expect, test } from 'vitest';
import * as PacedSocket from '../../PacedSocket.js';

const { SLICE_BYTES } = PacedSocket;

/** A socket whose slices are processed one by one. */
interface PacedSetUp {
  readonly socket: PacedSocket.PacedSocket;
  readonly received: Buffer[];
  /** Processes a slice that waits; returns whether there was one. */
  readonly processSlice: () => Promise<boolean>;
}

function waitForTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function setUp(): Promise<PacedSetUp> {
  const queued: (() => void)[] = [];
  const socket = new PacedSocket.PacedSocket({ queueSlice: (run) => queued.push(run) }, {});
  const received: Buffer[] = [];
  socket.on('data', (bytes: Buffer) => received.push(bytes));
  await waitForTurn();
  return {
    processSlice: async () => {
      const run = queued.shift();
      run?.();
      await waitForTurn();
      return run !== undefined;
    },
    received,
    socket,
  };
}

async function processAll(processSlice: PacedSetUp['processSlice']): Promise<void> {
  if (await processSlice()) await processAll(processSlice);
}

function createBytes(length: number): Buffer {
  return Buffer.from(Array.from({ length }, (_, index) => index % 251));
}

function createReadError(): Error {
  return Object.assign(new RangeError('read ECONNRESET'), { syscall: 'read' });
}

describe('a paced socket', () => {
  test('passes on a short read at once', async () => {
    const { received, socket } = await setUp();
    expect(socket.push(createBytes(SLICE_BYTES - 1))).toBe(true);
    expect(received.map(({ length }) => length)).toEqual([SLICE_BYTES - 1]);
    expect(socket.hasWaitingBytes()).toBe(false);
  });

  test('passes on a long read slice by slice, and reads no more meanwhile', async () => {
    const { processSlice, received, socket } = await setUp();
    const bytes = createBytes(2 * SLICE_BYTES + 7);
    expect(socket.push(bytes)).toBe(false);
    expect(received).toEqual([]);
    await processSlice();
    expect(received.map(({ length }) => length)).toEqual([SLICE_BYTES]);
    await processAll(processSlice);
    expect(received.map(({ length }) => length)).toEqual([SLICE_BYTES, SLICE_BYTES, 7]);
    expect(Buffer.concat(received).equals(bytes)).toBe(true);
  });

  test('passes on nothing while its bytes are held, and all of them afterwards', async () => {
    const { processSlice, received, socket } = await setUp();
    socket.holdBytes();
    socket.push(Buffer.from('first '));
    socket.push(Buffer.from('second'));
    await processAll(processSlice);
    expect(received).toEqual([]);
    socket.releaseBytes();
    await processAll(processSlice);
    expect(Buffer.concat(received).toString()).toBe('first second');
  });

  test('ends after the bytes that waited', async () => {
    const { processSlice, received, socket } = await setUp();
    const ended = new Promise((resolve) => {
      socket.on('end', () => resolve(Buffer.concat(received).length));
    });
    socket.push(createBytes(SLICE_BYTES + 1));
    socket.push(null);
    await processAll(processSlice);
    expect(await ended).toBe(SLICE_BYTES + 1);
  });

  test('reports a reset after the bytes that were read before', async () => {
    const { processSlice, received, socket } = await setUp();
    const failed = new Promise((resolve) => {
      socket.on('error', () => resolve(Buffer.concat(received).length));
    });
    socket.push(createBytes(SLICE_BYTES + 1));
    socket.destroy(createReadError());
    await processAll(processSlice);
    expect(await failed).toBe(SLICE_BYTES + 1);
    expect(socket.destroyed).toBe(true);
  });

  test('passes on nothing after it was closed', async () => {
    const { processSlice, received, socket } = await setUp();
    socket.push(createBytes(3 * SLICE_BYTES));
    await processSlice();
    socket.destroy();
    await processAll(processSlice);
    expect(received.map(({ length }) => length)).toEqual([SLICE_BYTES]);
  });
});
