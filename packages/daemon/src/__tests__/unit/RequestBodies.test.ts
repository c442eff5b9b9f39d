/** Requests that are refused before or while their body is received. */
import * as net from 'node:net';
import {
  afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import * as EntryHarness from '../support/EntryHarness.js';

const BODY_LIMIT = 100_000;
const LARGE_BODY_BYTES = 90_000;

let harness: EntryHarness.EntryHarness;
const sockets: net.Socket[] = [];

beforeEach(async () => {
  harness = await EntryHarness.startEntryHarness({
    handleEngineRequest: EntryHarness.sendOneToken,
    limits: { bodyBytes: BODY_LIMIT, heldBytes: 1 },
  });
});

afterEach(async () => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  await harness.close();
});

interface RawRequest {
  readonly socket: net.Socket;
  readonly getText: () => string;
}

/** Sends a head and the beginning of a body. */
function sendRaw(key: string, length: number | string, body: Buffer | string): RawRequest {
  const { hostname, port } = new URL(harness.url);
  const socket = net.connect(Number(port), hostname);
  sockets.push(socket);
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  socket.on('error', (error) => {
    text += error.message;
  });
  socket.write([
    'POST /v1/chat/completions HTTP/1.1',
    'host: a',
    `authorization: Bearer ${key}`,
    `content-length: ${length}`,
    '\r\n',
  ].join('\r\n'));
  socket.write(body);
  return { getText: () => text, socket };
}

async function waitForStatus({ getText }: RawRequest, status: number): Promise<void> {
  await vi.waitFor(() => expect(getText()).toMatch(new RegExp(`^HTTP/1.1 ${status} `)));
}

describe('a request is refused before its body is read', () => {
  // Guards against a crowd without keys that fills the memory with bodies.
  test('if its key is not valid', async () => {
    const request = sendRaw('unknown', LARGE_BODY_BYTES, 'a');
    await waitForStatus(request, 401);
    expect(request.getText()).toMatch(/connection: close/i);
  });

  test('if its declared length is over the limit', async () => {
    await waitForStatus(sendRaw(harness.key, BODY_LIMIT + 1, 'a'), 413);
  });

  // Guards against a connection that is reset with unread bytes, so that the refusal is lost.
  test('and its caller gets the refusal although it goes on sending', async () => {
    const length = 4_000_000;
    const request = sendRaw('unknown', length, Buffer.alloc(length - 1));
    await waitForStatus(request, 401);
    await vi.waitFor(() => expect(request.socket.readableEnded).toBe(true), { timeout: 5_000 });
    expect(request.getText()).toContain('invalid_key');
    expect(request.getText()).not.toContain('ECONNRESET');
  });
});

test('a key that is withdrawn while the body is sent is refused', async () => {
  const body = EntryHarness.buildChatBody();
  const request = sendRaw(harness.key, body.length, body.slice(0, -1));
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  harness.withdrawKey();
  request.socket.write(body.slice(-1));
  await waitForStatus(request, 401);
  expect(request.getText()).toContain('key_withdrawn');
});

// Guards against unfinished bodies that fill the memory, and against a total that is not released.
test('a body beyond the total of all bodies is refused until others are released', async () => {
  const part = 'a'.repeat(LARGE_BODY_BYTES - 1);
  const unfinished = [1, 2].map(() => sendRaw(harness.key, LARGE_BODY_BYTES, part));
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  // Bodies that stopped for a second give way to the third one; until then it is refused itself.
  const all = [...unfinished, sendRaw(harness.key, LARGE_BODY_BYTES, part)];
  await vi.waitFor(() => {
    expect(all.map(({ getText }) => getText()).join('')).toMatch(/HTTP\/1.1 503 .*overloaded/s);
  });
  all.forEach(({ socket }) => socket.destroy());
  await vi.waitFor(async () => {
    const body = EntryHarness.buildChatBody().padEnd(LARGE_BODY_BYTES);
    const request = sendRaw(harness.key, body.length, body);
    await waitForStatus(request, 200);
  });
  expect(harness.defects).toEqual([]);
});
