/** Crowds of misbehaving clients at each listener must not end the daemon or fill its memory. */
import {
  afterEach, beforeEach, describe, test,
} from 'vitest';
import * as Crowd from '../support/Crowd.js';
import * as LoadSystem from '../support/LoadSystem.js';

const PIPELINED_REQUESTS = 20_000;
const CHUNK_BYTES = 16;
const PEER_MESSAGE_BYTES = 4_000_000;

let system: LoadSystem.LoadSystem;

beforeEach(async () => {
  system = await LoadSystem.startLoadSystem();
});

afterEach(() => system.stop());

function buildHead(lines: readonly string[]): Buffer {
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
}

function buildChatHead(authorization: string, ...framing: readonly string[]): Buffer {
  return buildHead([
    'POST /v1/chat/completions HTTP/1.1',
    'host: a',
    `authorization: Bearer ${authorization}`,
    ...framing,
  ]);
}

/** Builds a request whose body lacks its last byte. */
function buildUnfinishedRequest(authorization: string, bodyBytes: number): Buffer {
  return Buffer.concat([
    buildChatHead(authorization, `content-length: ${bodyBytes}`),
    Buffer.alloc(bodyBytes - 1, 'a'),
  ]);
}

function buildChunkedRequest(authorization: string, chunkBytes: number, count: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`;
  return Buffer.concat([
    buildChatHead(authorization, 'transfer-encoding: chunked'),
    Buffer.from(chunk.repeat(count)),
  ]);
}

/** Builds many requests that are sent ahead without waiting for an answer. */
function buildPipeline(path: string, count: number): Buffer {
  return Buffer.from(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`.repeat(count));
}

describe('a crowd at the entry listener', () => {
  test('with a key that leaves bodies of legal size unfinished does not fill the memory', () => (
    system.runCrowd('unfinished bodies with a key', () => Crowd.startCrowd({
      bytes: buildUnfinishedRequest(system.key, LoadSystem.BODY_BYTES),
      connections: 200,
      url: system.entry,
    }))
  ));

  test('without a key that leaves bodies of legal size unfinished does not fill the memory', () => (
    system.runCrowd('unfinished bodies without a key', () => Crowd.startCrowd({
      bytes: buildUnfinishedRequest('unknown', LoadSystem.BODY_BYTES),
      connections: 200,
      url: system.entry,
    }))
  ));

  test('that sends bodies in chunks of 16 bytes does not fill the memory', () => (
    system.runCrowd('bodies in chunks of 16 bytes', () => Crowd.startCrowd({
      bytes: buildChunkedRequest(system.key, CHUNK_BYTES, 12_500),
      connections: 100,
      url: system.entry,
    }))
  ));

  test('that sends bodies over the limit in chunks does not fill the memory', () => (
    system.runCrowd('bodies over the limit', () => Crowd.startCrowd({
      bytes: buildChunkedRequest(system.key, 65_536, 64),
      connections: 100,
      url: system.entry,
    }))
  ));

  test('that sends requests ahead and reads no answer does not fill the memory', () => (
    system.runCrowd('pipelined requests to a path without a route', () => Crowd.startCrowd({
      bytes: buildPipeline('/none', PIPELINED_REQUESTS), connections: 30, url: system.entry,
    }))
  ));

  test('that sends bodies of legal size ahead on one connection does not fill the memory', () => (
    system.runCrowd('pipelined bodies', () => Crowd.startCrowd({
      bytes: Buffer.concat(Array.from({ length: 20 }, () => Buffer.concat([
        buildChatHead(system.key, `content-length: ${LoadSystem.BODY_BYTES}`),
        Buffer.alloc(LoadSystem.BODY_BYTES, 'a'),
      ]))),
      connections: 20,
      url: system.entry,
    }))
  ));

  test('that asks for large answers and reads nothing does not fill the memory', () => (
    system.runCrowd('unread answers of 900 KB', () => Crowd.startCrowd({
      bytes: buildPipeline('/catalogue', 1), connections: 300, url: system.entry,
    }))
  ));

  test('that sends a byte at times does not use up the descriptors', () => (
    system.runCrowd('a byte at times', () => Crowd.startCrowd({
      bytes: buildUnfinishedRequest(system.key, 1_000),
      connections: 1_200,
      isTrickling: true,
      url: system.entry,
    }))
  ));
});

describe('a crowd at the operator listener', () => {
  test.each(['/readyz', '/metrics', '/operator/status', '/none'])(
    'that sends requests for %s ahead and reads no answer does not fill the memory',
    (path) => system.runCrowd(`pipelined requests for ${path}`, () => Crowd.startCrowd({
      bytes: buildPipeline(path, PIPELINED_REQUESTS), connections: 30, url: system.operator,
    })),
  );

  test('that leaves bodies unfinished does not fill the memory', () => (
    system.runCrowd('unfinished bodies', () => Crowd.startCrowd({
      bytes: buildUnfinishedRequest('unknown', LoadSystem.BODY_BYTES),
      connections: 200,
      url: system.operator,
    }))
  ));

  test('that sends a byte at times does not use up the descriptors', () => (
    system.runCrowd('a byte at times', () => Crowd.startCrowd({
      bytes: buildUnfinishedRequest('unknown', 1_000),
      connections: 1_200,
      isTrickling: true,
      url: system.operator,
    }))
  ));
});

describe('a crowd at the membership listener', () => {
  test('that leaves messages unfinished does not fill the memory', () => (
    system.runCrowd('unfinished messages', () => Crowd.startPeerCrowd({
      address: system.peerAddress,
      connections: 60,
      messageBytes: PEER_MESSAGE_BYTES,
      streams: 1,
    }))
  ));

  test('that opens thousands of streams does not fill the memory', () => (
    system.runCrowd('2,000 streams on each connection', () => Crowd.startPeerCrowd({
      address: system.peerAddress, connections: 10, messageBytes: 2, streams: 2_000,
    }))
  ));

  test('that sends a byte at times does not use up the descriptors', () => (
    system.runCrowd('a byte at times', () => Crowd.startCrowd({
      bytes: Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
      connections: 1_200,
      isTrickling: true,
      url: `http://${system.peerAddress}`,
    }))
  ));
});
