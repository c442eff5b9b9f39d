import {
  afterEach, describe, expect, test,
} from 'vitest';
import type * as net from 'node:net';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const opened: { close: () => void }[] = [];

async function setUp(
  answers: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route> = {},
): Promise<{ path: PathHarness.PathHarness; servers: PathHarness.RawServer[] }> {
  const servers = await Promise.all(answers.map(PathHarness.startRawServer));
  const path = await PathHarness.startPath(
    servers.map(({ port }) => port),
    PathHarness.createRoute(route),
  );
  opened.push(path, ...servers);
  return { path, servers };
}

afterEach(() => opened.splice(0).forEach(({ close }) => close()));

const answerPlain: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(socket, id, `for ${id}`)
);
const reset: PathHarness.RawResponder = (socket) => {
  socket.resetAndDestroy();
};
const writeEvents = (socket: net.Socket, id: string, text: string, isWhole: boolean): void => {
  socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
    + 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    + `${text.length.toString(16)}\r\n${text}\r\n${isWhole ? '0\r\n\r\n' : ''}`);
};

describe('one request', () => {
  test('goes to the server with the account instead of the key, and comes back whole', async () => {
    const { path, servers } = await setUp([answerPlain]);
    const answer = await path.call();
    expect(answer).toMatchObject({ body: 'for r1', isTruncated: false, status: 200 });
    expect(answer.headers['x-signature']).toBe('s');
    expect(servers[0]?.heads[0]).toMatch(/x-account: shop/);
    expect(servers[0]?.heads[0]).toMatch(/x-server: s0/);
    expect(servers[0]?.heads[0]).not.toMatch(/good|authorization/i);
    expect(path.startedAccounts).toEqual(['shop']);
  });

  test('without a valid key reaches no server', async () => {
    const { path, servers } = await setUp([answerPlain]);
    expect(await path.call({ key: 'bad' })).toMatchObject({ status: 401 });
    expect(servers[0]?.heads).toEqual([]);
  });

  test('with more headers than the configuration allows is refused', async () => {
    const { path, servers } = await setUp([answerPlain]);
    const headers = { 'x-big': 'x'.repeat(8_000) };
    expect(await path.call({ headers })).toMatchObject({ status: 431 });
    expect(servers[0]?.heads).toEqual([]);
  });

  test('with a body beyond the limit is refused once, however many chunks follow', async () => {
    const { path, servers } = await setUp([answerPlain]);
    const chunks = Array.from({ length: 4 }, () => 'x'.repeat(900));
    expect(await path.call({ chunks })).toMatchObject({ status: 413 });
    expect(await path.call()).toMatchObject({ status: 200 });
    expect(servers[0]?.heads).toHaveLength(1);
  });

  test('is refused as not run while the list of keys may be out of date', async () => {
    const { path, servers } = await setUp([answerPlain]);
    path.setKeysCurrent(false);
    const answer = await path.call();
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(servers[0]?.heads).toEqual([]);
  });
});

describe('a request that may run once', () => {
  test('is not sent again after a reset, and its outcome is unknown', async () => {
    const { path, servers } = await setUp([reset, answerPlain]);
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('goes on to another server after the first one said that it did not run', async () => {
    const { path } = await setUp([(socket, id) => socket.write(
      `HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
    ), answerPlain]);
    expect(await path.call()).toMatchObject({ body: 'for r1', status: 200 });
  });

  test('is not called not run on the word of a late refusal to an earlier request', async () => {
    const { path } = await setUp([(socket, id, count) => {
      if (count === 1) PathHarness.writeResponse(socket, id, 'first');
      else socket.write('HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n');
    }]);
    expect(await path.call()).toMatchObject({ status: 200 });
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 502 });
  });

  test('gets an answer at its time limit, and its server is left alone', async () => {
    const { path, servers } = await setUp([() => undefined], { timeoutMs: 200 });
    expect(await path.call()).toMatchObject({ status: 504 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });

  test('of a caller that leaves is cancelled at its server', async () => {
    const { path, servers } = await setUp([() => undefined]);
    await path.call({ disconnectAfterMs: 100 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a request that may be repeated', () => {
  const kind = 'repeatable' as const;
  const faults: Record<string, PathHarness.RawResponder> = {
    'a reset': reset,
    'a silent server': () => undefined,
    'an answer of another request': (socket) => PathHarness.writeResponse(socket, 'other', 'wrong'),
    'an answer that was cut off': (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`;
      socket.end(`${head}Content-Length: 9\r\n\r\nhalf`);
    },
    'an answer without a signature': (socket, id) => (
      PathHarness.writeResponse(socket, id, 'forged', '')
    ),
    'an encoded answer': (socket, id) => (
      PathHarness.writeResponse(socket, id, 'zip', 'X-Signature: s\r\nContent-Encoding: gzip\r\n')
    ),
    'an error of the server': (socket, id) => {
      socket.write(`HTTP/1.1 500 No\r\nX-Id: ${id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n`);
    },
    'an unframed answer that was reset': (socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    'an unframed answer whose reset arrives together with its bytes': (socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\nhalf`, () => {
        socket.resetAndDestroy();
      });
    },
    'bytes that are no answer': (socket) => socket.write('\u0000garbage\r\n\r\n'),
  };
  Object.entries(faults).forEach(([name, fault]) => test(`survives ${name}`, async () => {
    const { path } = await setUp([fault, answerPlain], { kind });
    expect(await path.call()).toMatchObject({ body: 'for r1', isTruncated: false, status: 200 });
    expect(path.startedAccounts).toEqual(['shop']);
  }));

  test('bytes after a complete answer are never taken for the next one', async () => {
    const { path } = await setUp([(socket, id, count) => {
      PathHarness.writeResponse(socket, id, `for ${id}`);
      if (count === 1) setTimeout(() => PathHarness.writeResponse(socket, 'r1', 'late'), 30);
    }], { kind });
    expect(await path.call()).toMatchObject({ body: 'for r1' });
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ body: 'for r2', status: 200 });
  });
});

describe('a stream', () => {
  const stream = { isResumable: true, kind: 'stream' as const };

  test('is resumed after the last whole event, each event once', async () => {
    const { path, servers } = await setUp([
      (socket, id) => {
        writeEvents(socket, id, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda', false);
        setTimeout(() => socket.destroy(), 50);
      },
      (socket, id) => writeEvents(socket, id, 'id: 2\ndata: b\n\nid: 3\ndata: c\n\n', true),
    ], stream);
    expect(await path.call()).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n', isTruncated: false,
    });
    expect(servers[1]?.heads[0]).toMatch(/last-event-id: 2/);
    expect(path.startedAccounts).toEqual(['shop']);
  });

  test('that may not be resumed ends cut, without half an event', async () => {
    const { path, servers } = await setUp([
      (socket, id) => {
        writeEvents(socket, id, 'id: 1\ndata: a\n\nid: 2\nda', false);
        setTimeout(() => socket.destroy(), 50);
      },
      answerPlain,
    ], { kind: 'stream' });
    expect(await path.call()).toMatchObject({ body: 'id: 1\ndata: a\n\n', isTruncated: true });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('that falls silent is resumed elsewhere', async () => {
    const { path } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
      (socket, id) => writeEvents(socket, id, 'id: 2\ndata: b\n\n', true),
    ], { ...stream, pauseTargetMs: 50, timeoutMs: 5_000 });
    expect(await path.call({ headers: { 'x-left': '5000' } })).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isTruncated: false,
    });
  });

  test('is cut at the time limit of its route', async () => {
    const { path, servers } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
    ], { kind: 'stream', timeoutMs: 300 });
    expect(await path.call()).toMatchObject({ isTruncated: true });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a server that says in an answer that it leaves', () => {
  const LEAVING = 'X-Signature: s\r\nX-Leaving: 1\r\n';
  const answerLeaving: PathHarness.RawResponder = (socket, id) => (
    PathHarness.writeResponse(socket, id, `for ${id}`, LEAVING)
  );

  test('gets nothing new, also after its entry was read again as ready', async () => {
    const { path, servers } = await setUp([answerLeaving, answerPlain]);
    expect(await path.call()).toMatchObject({ body: 'for r1', status: 200 });
    path.applyServer(0);
    const ids = ['r2', 'r3', 'r4', 'r5'];
    const answers = await Promise.all(ids.map((requestId) => path.call({ requestId })));
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
    expect(servers.map(({ heads }) => heads.length)).toEqual([1, 4]);
  });

  test('is another server when it has started again', async () => {
    const { path, servers } = await setUp([answerLeaving]);
    await path.call();
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 503 });
    path.applyServer(0, { bornMs: 1 });
    expect(await path.call({ requestId: 'r3' })).toMatchObject({ status: 200 });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('gets no stream that is resumed and no repeat', async () => {
    const stream = { isResumable: true, kind: 'stream' as const, maxAttempts: 3 };
    const { path, servers } = await setUp([
      (socket, id, count) => {
        if (count === 1) PathHarness.writeResponse(socket, id, 'id: 1\ndata: a\n\n', LEAVING);
        else socket.destroy();
      },
      (socket, id) => {
        writeEvents(socket, id, 'id: 1\ndata: a\n\n', false);
        setTimeout(() => socket.destroy(), 50);
      },
      (socket, id) => writeEvents(socket, id, 'id: 2\ndata: b\n\n', true),
    ], stream);
    await path.call();
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ isTruncated: false, status: 200 });
    expect(servers[0]?.heads).toHaveLength(1);
  });

  test('is believed when it refuses a request, and only in an answer to that request', async () => {
    const { path, servers } = await setUp([(socket, id, count) => {
      if (count === 1) PathHarness.writeResponse(socket, 'other', 'wrong', LEAVING);
      else if (count === 2) PathHarness.writeResponse(socket, id, 'own');
      else {
        socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n`
          + 'Content-Length: 0\r\n\r\n');
      }
    }]);
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ body: 'own' });
    expect(await path.call({ requestId: 'r3' })).toMatchObject({ status: 503 });
    expect(await path.call({ requestId: 'r4' })).toMatchObject({ status: 503 });
    expect(servers[0]?.heads).toHaveLength(3);
  });
});

describe('a server that turns requests away', () => {
  const refuse = (extra: string): PathHarness.RawResponder => (socket, id) => {
    socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\n${extra}`
      + 'Content-Length: 4\r\n\r\nfull');
  };

  test('gets nothing for the time that it names, and callers learn when to return', async () => {
    const { path, servers } = await setUp([refuse('Retry-After: 0.4\r\n')]);
    await path.call();
    const answer = await path.call({ headers: { 'x-left': '5000' }, requestId: 'r2' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0.3);
    expect(servers[0]?.heads).toHaveLength(1);
    await new Promise((resolve) => {
      setTimeout(resolve, 450);
    });
    await path.call({ requestId: 'r3' });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('keeps its connection and is not left out as broken', async () => {
    const { path, servers } = await setUp([refuse('')], { maxAttempts: 1 });
    const callInTurn = async (count: number): Promise<void> => {
      if (count === 0) return;
      await path.call({ requestId: `r${count}` });
      await callInTurn(count - 1);
    };
    await callInTurn(6);
    expect(servers[0]?.heads).toHaveLength(6);
    expect(servers[0]?.countClosed()).toBe(0);
    expect(path.listEjected()).toEqual([]);
  });

  test('is passed over for a moment while others have room', async () => {
    const { path, servers } = await setUp([refuse(''), answerPlain], { maxAttempts: 2 });
    const ids = ['r1', 'r2', 'r3', 'r4'];
    const callInTurn = async ([requestId, ...rest]: readonly string[]): Promise<void> => {
      if (requestId === undefined) return;
      expect(await path.call({ requestId })).toMatchObject({ status: 200 });
      await callInTurn(rest);
    };
    await callInTurn(ids);
    expect(servers[0]?.heads.length).toBeLessThanOrEqual(1);
    expect(servers[1]?.heads).toHaveLength(4);
  });

  test('is cut off when its refusal has no end', async () => {
    const { path, servers } = await setUp([(socket, id) => {
      socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\n\r\n`);
      const timer = setInterval(() => socket.write('x'.repeat(10_000)), 1);
      socket.on('close', () => clearInterval(timer));
    }]);
    expect(await path.call()).toMatchObject({ status: 503 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

/** Writes the same bytes again and again until the connection is closed. */
function writeWithoutEnd(socket: net.Socket, head: string, bytes: string): void {
  socket.write(head);
  const timer = setInterval(() => socket.write(bytes), 1);
  socket.on('close', () => clearInterval(timer));
}

describe('a server whose bytes have no end', () => {
  const createHead = (id: string, extra: string): string => (
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n${extra}\r\n`
  );
  const CHUNKED = 'Transfer-Encoding: chunked\r\n';
  const endless: Record<string, (socket: net.Socket, id: string) => void> = {
    'in a chunk extension': (socket, id) => (
      writeWithoutEnd(socket, `${createHead(id, CHUNKED)}5;x=`, 'x'.repeat(9_000))
    ),
    'in a head': (socket, id) => (
      writeWithoutEnd(socket, `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\n`, `X-A: ${'x'.repeat(900)}\r\n`)
    ),
    'in a plain body': (socket, id) => (
      writeWithoutEnd(socket, createHead(id, 'Content-Length: 999999999\r\n'), 'x'.repeat(900))
    ),
    'in a plain body of one-byte chunks': (socket, id) => (
      writeWithoutEnd(socket, createHead(id, CHUNKED), '1\r\nx\r\n'.repeat(900))
    ),
    'in a plain body without length': (socket, id) => (
      writeWithoutEnd(socket, createHead(id, ''), 'x'.repeat(900))
    ),
    'in a trailer': (socket, id) => writeWithoutEnd(
      socket,
      `${createHead(id, CHUNKED)}1\r\nx\r\n0\r\n`,
      `X-A: ${'x'.repeat(900)}\r\n`,
    ),
    'in informational answers': (socket) => (
      writeWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20))
    ),
    'that are no answer': (socket) => writeWithoutEnd(socket, '', '\u0000garbage'),
  };
  Object.entries(endless).forEach(([name, write]) => test(`${name} is cut off early`, async () => {
    const { path, servers } = await setUp([(socket, id) => write(socket, id), answerPlain], {
      kind: 'repeatable', timeoutMs: 8_000,
    });
    const startMs = performance.now();
    const headers = { 'x-left': '8000' };
    expect(await path.call({ headers })).toMatchObject({ body: 'for r1', status: 200 });
    // The time limit of a silent server would end it after 3.6 s.
    expect(performance.now() - startMs).toBeLessThan(3_000);
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  }));

  test('in one event of a stream is cut off, and the stream goes on elsewhere', async () => {
    const { path, servers } = await setUp([
      (socket, id) => writeWithoutEnd(
        socket,
        `${createHead(id, '')}id: 1\ndata: a\n\n`,
        'data: x\n'.repeat(50),
      ),
      (socket, id) => writeEvents(socket, id, 'id: 2\ndata: b\n\n', true),
    ], { isResumable: true, kind: 'stream', timeoutMs: 8_000 });
    expect(await path.call({ headers: { 'x-left': '8000' } })).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isTruncated: false,
    });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });

  test('does not take the room of answers to other requests for good', async () => {
    const { path } = await setUp([(socket, id, count) => {
      if (count <= 6) {
        writeWithoutEnd(socket, createHead(id, 'Content-Length: 999999\r\n'), 'x'.repeat(900));
      } else PathHarness.writeResponse(socket, id, 'x'.repeat(3_900));
    }]);
    const ids = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'];
    const answers = await Promise.all(ids.map((requestId) => path.call({ requestId })));
    expect(answers.map(({ status }) => status)).toEqual(ids.map(() => 502));
    expect(await path.call({ requestId: 'r7' })).toMatchObject({ status: 200 });
  });
});

describe('a slow stream', () => {
  const route = {
    isResumable: true, kind: 'stream' as const, pauseTargetMs: 100, timeoutMs: 4_000,
  };
  const headers = { 'x-left': '4000' };
  /** Sends an event after each pause. */
  const writeSlowly = (
    pauseMs: number,
    count: number,
  ): PathHarness.RawResponder => (socket, id) => {
    socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`);
    Array.from({ length: count }, (_, index) => setTimeout(() => {
      socket.write(`id: ${index + 1}\ndata: a\n\n`);
      if (index + 1 === count) socket.end();
    }, pauseMs * (index + 1)));
  };
  const countEvents = (body: string): number => body.split('data: a').length - 1;

  test('that no other server can take over is not cut', async () => {
    const { path } = await setUp([writeSlowly(1_100, 3)], route);
    const answer = await path.call({ headers });
    expect([answer.isTruncated, countEvents(answer.body)]).toEqual([false, 3]);
  });

  test('is not cut where the budget of repeats is used up', async () => {
    const { path, servers } = await setUp([writeSlowly(1_100, 3), answerPlain], route);
    path.setCanRetry(false);
    const answer = await path.call({ headers });
    expect([answer.isTruncated, countEvents(answer.body)]).toEqual([false, 3]);
    expect(servers[1]?.heads).toEqual([]);
  });

  test('that is kept open by comments and single bytes is taken over elsewhere', async () => {
    const { path } = await setUp([
      (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`);
        const timer = setInterval(() => socket.write(': ping\n\n'), 100);
        socket.on('close', () => clearInterval(timer));
      },
      writeSlowly(10, 2),
    ], route);
    const answer = await path.call({ headers });
    expect([answer.isTruncated, countEvents(answer.body)]).toEqual([false, 2]);
  });

  test('that makes no progress and may not be resumed ends at its time limit', async () => {
    const { path, servers } = await setUp([(socket, id) => writeWithoutEnd(
      socket,
      `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`,
      ': ping\n\n',
    )], { kind: 'stream', timeoutMs: 400 });
    expect(await path.call({ headers })).toMatchObject({ isTruncated: true });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('an unexpected error', () => {
  test('ends its request, and the others go on', async () => {
    const { path } = await setUp([answerPlain]);
    path.failOnce();
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(path.defects).toHaveLength(1);
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 200 });
  });
});

/** Load pattern: a daemon of a large fleet sees each server once in a minute. */
describe('a server that failed requests of other daemons', () => {
  test('gets none of this one while others are sound', async () => {
    const { path, servers } = await setUp([answerPlain, answerPlain]);
    path.setFleetOutcomes([{
      failures: 8, requests: 16, server: 's0@0',
    }]);
    await Promise.all(['r1', 'r2', 'r3'].map((requestId) => path.call({ requestId })));
    expect(servers.map(({ heads }) => heads.length)).toEqual([0, 3]);
  });

  test('is told of by this daemon as well', async () => {
    const { path } = await setUp([reset]);
    await path.call();
    expect(path.takeObserved()).toEqual([{
      failures: 1, requests: 1, server: 's0@0',
    }]);
  });
});

/** Load pattern: engines go dark under running streams and keep their entries for seconds. */
describe('a server that goes dark under a running stream', () => {
  test('gets no new request, and the fleet is told once', async () => {
    const { path, servers } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: b\n\n', true),
    ], { kind: 'stream', timeoutMs: 3_000 });
    const headers = { 'x-left': '3000', 'x-tokens': '10,10' };
    path.setFleetOutcomes([{
      failures: 4, requests: 8, server: 's1@0',
    }]);
    const dark = path.call({ headers });
    await new Promise((resolve) => {
      setTimeout(resolve, 700);
    });
    const ids = ['r2', 'r3', 'r4'];
    const answers = await Promise.all(ids.map((requestId) => path.call({ headers, requestId })));
    expect(answers.map(({ isTruncated }) => isTruncated)).toEqual([false, false, false]);
    expect(servers[0]?.heads).toHaveLength(1);
    const told = path.takeObserved().find(({ server }) => server === 's0@0');
    expect(told).toMatchObject({ failures: 1, requests: 1 });
    expect(await dark).toMatchObject({ isTruncated: true });
  });

  // Guards against a caller that reads slowly and so takes its server out of use.
  test('is not taken for dark where the caller holds the stream up', async () => {
    const { path } = await setUp([(socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`);
      // Many megabytes a second, to fill the buffers of the kernel on the way to the caller.
      const events = `data: ${'x'.repeat(1_500)}\n\n`.repeat(50);
      const timer = setInterval(() => socket.write(events), 1);
      socket.on('close', () => clearInterval(timer));
    }, answerPlain], { kind: 'stream', timeoutMs: 5_000 });
    path.setFleetOutcomes([{
      failures: 4, requests: 8, server: 's1@0',
    }]);
    const headers = { 'x-left': '5000', 'x-tokens': '10,10' };
    const unread = path.open({ headers });
    await new Promise((resolve) => {
      setTimeout(resolve, 3_000);
    });
    const next = path.open({ headers, requestId: 'r2' });
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(path.takeObserved().filter(({ failures }) => failures > 0)).toEqual([]);
    unread.destroy();
    next.destroy();
  }, 20_000);
});
