import {
  afterEach, describe, expect, test,
} from 'vitest';
import type * as net from 'node:net';
import * as CrashSuspects from '../../CrashSuspects.js';
import * as RequestFingerprint from '../../RequestFingerprint.js';
import * as RequestTraits from '../../RequestTraits.js';
import * as PathHarness from '../support/PathHarness.js';
import type * as Routing from '../../index.js';

const closables: { close: () => void }[] = [];

async function setUp(
  responders: readonly PathHarness.RawResponder[],
  route: Partial<Routing.Route> = {},
): Promise<PathHarness.PathSetUp> {
  const started = await PathHarness.startPath(responders, route);
  closables.push(started);
  return started;
}

afterEach(() => closables.splice(0).forEach(({ close }) => close()));

const respondPlain: PathHarness.RawResponder = (socket, id) => (
  PathHarness.writeResponse(socket, id, `for ${id}`)
);
const resetConnection: PathHarness.RawResponder = (socket) => {
  socket.resetAndDestroy();
};
const writeEvents = (socket: net.Socket, id: string, text: string, isWhole: boolean): void => {
  socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
    + 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    + `${text.length.toString(16)}\r\n${text}\r\n${isWhole ? '0\r\n\r\n' : ''}`);
};

describe('a request', () => {
  test('is forwarded with the account instead of the key, and the response relayed', async () => {
    const { path, servers } = await setUp([respondPlain]);
    const response = await path.call();
    expect(response).toMatchObject({ body: 'for r1', isTruncated: false, status: 200 });
    expect(response.headers['x-signature']).toBe('s');
    expect(servers[0]?.heads[0]).toMatch(/x-account: shop/);
    expect(servers[0]?.heads[0]).toMatch(/x-server: s0/);
    expect(servers[0]?.heads[0]).not.toMatch(/good|authorization/i);
    expect(path.startedAccounts).toEqual(['shop']);
  });

  test('without a valid key is not forwarded', async () => {
    const { path, servers } = await setUp([respondPlain]);
    expect(await path.call({ key: 'bad' })).toMatchObject({ status: 401 });
    expect(servers[0]?.heads).toEqual([]);
  });

  test('with more headers than the configuration allows is refused', async () => {
    const { path, servers } = await setUp([respondPlain]);
    const headers = { 'x-big': 'x'.repeat(8_000) };
    expect(await path.call({ headers })).toMatchObject({ status: 431 });
    expect(servers[0]?.heads).toEqual([]);
  });

  test('with a body beyond the limit is refused once, however many chunks follow', async () => {
    const { path, servers } = await setUp([respondPlain]);
    const chunks = Array.from({ length: 4 }, () => 'x'.repeat(900));
    expect(await path.call({ chunks })).toMatchObject({ status: 413 });
    expect(await path.call()).toMatchObject({ status: 200 });
    expect(servers[0]?.heads).toHaveLength(1);
  });

  test('is refused as retryable while the list of keys may be out of date', async () => {
    const { path, servers } = await setUp([respondPlain]);
    path.setKeysCurrent(false);
    const response = await path.call();
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    expect(servers[0]?.heads).toEqual([]);
  });
});

describe('a request that may run only once', () => {
  test('is not retried after a reset, and its outcome is unknown', async () => {
    const { path, servers } = await setUp([resetConnection, respondPlain]);
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('is retried at another server after the first one stated that it did not run', async () => {
    const { path } = await setUp([(socket, id) => socket.write(
      `HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
    ), respondPlain]);
    expect(await path.call()).toMatchObject({ body: 'for r1', status: 200 });
  });

  test('is not reported as not run because of a late refusal of an earlier request', async () => {
    const { path } = await setUp([(socket, id, count) => {
      if (count === 1) PathHarness.writeResponse(socket, id, 'first');
      else socket.write('HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n');
    }]);
    expect(await path.call()).toMatchObject({ status: 200 });
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 502 });
  });

  test('gets a 504 response at its time limit, and its connection is closed', async () => {
    const { path, servers } = await setUp([() => undefined], { timeoutMs: 200 });
    expect(await path.call()).toMatchObject({ status: 504 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });

  test('is cancelled at its server when the caller disconnects', async () => {
    const { path, servers } = await setUp([() => undefined]);
    await path.call({ disconnectAfterMs: 100 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a request that may run more than once', () => {
  const kind = 'repeatable' as const;
  const faults: Record<string, PathHarness.RawResponder> = {
    'a reset': resetConnection,
    'a silent server': () => undefined,
    'a response to another one': (socket) => PathHarness.writeResponse(socket, 'other', 'wrong'),
    'a truncated response': (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n`;
      socket.end(`${head}Content-Length: 9\r\n\r\nhalf`);
    },
    'a response without a signature': (socket, id) => (
      PathHarness.writeResponse(socket, id, 'forged', '')
    ),
    'an encoded response': (socket, id) => (
      PathHarness.writeResponse(socket, id, 'zip', 'X-Signature: s\r\nContent-Encoding: gzip\r\n')
    ),
    'a 500 response of the server': (socket, id) => {
      socket.write(`HTTP/1.1 500 No\r\nX-Id: ${id}\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n`);
    },
    'a response without length that was reset': (socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    'a response without length whose reset arrives together with its bytes': (socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\nhalf`, () => {
        socket.resetAndDestroy();
      });
    },
    'bytes that are no HTTP response': (socket) => socket.write('\u0000garbage\r\n\r\n'),
  };
  Object.entries(faults).forEach(([name, fault]) => test(`succeeds after ${name}`, async () => {
    const { path } = await setUp([fault, respondPlain], { kind });
    expect(await path.call()).toMatchObject({ body: 'for r1', isTruncated: false, status: 200 });
    expect(path.startedAccounts).toEqual(['shop']);
  }));

  test('never gets surplus bytes of an earlier response as its own', async () => {
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

  test('is resumed after the last complete event, without duplicates', async () => {
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

  test('that is not resumable is aborted without a partial event', async () => {
    const { path, servers } = await setUp([
      (socket, id) => {
        writeEvents(socket, id, 'id: 1\ndata: a\n\nid: 2\nda', false);
        setTimeout(() => socket.destroy(), 50);
      },
      respondPlain,
    ], { kind: 'stream' });
    expect(await path.call()).toMatchObject({ body: 'id: 1\ndata: a\n\n', isTruncated: true });
    expect(servers[1]?.heads).toEqual([]);
  });

  // Guards against a break that discards events which arrived together with it.
  test('that breaks together with an event delivers the event first', async () => {
    const { path } = await setUp([
      (socket, id) => writeEvents(socket, id, `id: 1\ndata: a\n\n${'x'.repeat(3_000)}`, true),
    ], { kind: 'stream' });
    expect(await path.call())
      .toMatchObject({ body: 'id: 1\ndata: a\n\n', isTruncated: true, status: 200 });
  });

  test('that becomes silent is resumed at another server', async () => {
    const { path } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
      (socket, id) => writeEvents(socket, id, 'id: 2\ndata: b\n\n', true),
    ], { ...stream, pauseTargetMs: 50, timeoutMs: 5_000 });
    expect(await path.call({ headers: { 'x-left': '5000' } })).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isTruncated: false,
    });
  });

  test('is aborted at the time limit of its route', async () => {
    const { path, servers } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
    ], { kind: 'stream', timeoutMs: 300 });
    expect(await path.call()).toMatchObject({ isTruncated: true });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a server that announces in a response that it is shutting down', () => {
  const LEAVING = 'X-Signature: s\r\nX-Leaving: 1\r\n';
  const respondLeaving: PathHarness.RawResponder = (socket, id) => (
    PathHarness.writeResponse(socket, id, `for ${id}`, LEAVING)
  );

  test('gets no new request, even after its entry was read again as ready', async () => {
    const { path, servers } = await setUp([respondLeaving, respondPlain]);
    expect(await path.call()).toMatchObject({ body: 'for r1', status: 200 });
    path.applyServer(0);
    const ids = ['r2', 'r3', 'r4', 'r5'];
    const responses = await Promise.all(ids.map((requestId) => path.call({ requestId })));
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
    expect(servers.map(({ heads }) => heads.length)).toEqual([1, 4]);
  });

  test('gets requests again after a restart', async () => {
    const { path, servers } = await setUp([respondLeaving]);
    await path.call();
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 503 });
    path.applyServer(0, { bornMs: 1 });
    expect(await path.call({ requestId: 'r3' })).toMatchObject({ status: 200 });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('gets no resumed stream and no retry', async () => {
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

  test('is believed also in a refusal, but only in a response to that very request', async () => {
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

describe('a server that refuses requests', () => {
  const refuse = (extra: string): PathHarness.RawResponder => (socket, id) => {
    socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\n${extra}`
      + 'Content-Length: 4\r\n\r\nfull');
  };

  test('gets no request during its Retry-After, which callers get as well', async () => {
    const { path, servers } = await setUp([refuse('Retry-After: 0.4\r\n')]);
    await path.call();
    const response = await path.call({ headers: { 'x-left': '5000' }, requestId: 'r2' });
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0.3);
    expect(servers[0]?.heads).toHaveLength(1);
    await new Promise((resolve) => {
      setTimeout(resolve, 450);
    });
    await path.call({ requestId: 'r3' });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('keeps its connection and is not ejected', async () => {
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

  test('is avoided for a moment while others have capacity', async () => {
    const { path, servers } = await setUp([refuse(''), respondPlain], { maxAttempts: 2 });
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

  test('is disconnected if the body of its refusal is endless', async () => {
    const { path, servers } = await setUp([(socket, id) => {
      socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\n\r\n`);
      const timer = setInterval(() => socket.write('x'.repeat(10_000)), 1);
      socket.on('close', () => clearInterval(timer));
    }]);
    expect(await path.call()).toMatchObject({ status: 503 });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a server that announces a request limit', () => {
  const respondLimited: PathHarness.RawResponder = (socket, id) => (
    PathHarness.writeResponse(socket, id, `for ${id}`, 'X-Signature: s\r\nX-Limit: 1\r\n')
  );
  const callInTurn = async (
    path: PathHarness.PathHarness,
    count: number,
  ): Promise<readonly PathHarness.CallerResponse[]> => {
    if (count === 0) return [];
    const response = await path.call({ requestId: `r${count}` });
    return [response, ...await callInTurn(path, count - 1)];
  };

  // Guards against the choice of a server by its load alone, although it announced a limit.
  test('gets no more requests while another server takes them', async () => {
    const { path, servers } = await setUp([respondLimited, respondPlain]);
    const responses = await callInTurn(path, 40);
    expect(responses.every(({ status }) => status === 200)).toBe(true);
    expect(servers[0]?.heads.length).toBeLessThanOrEqual(2);
  });

  // Guards against a limit that only lowers a server's rank: it is the last one left.
  test('gets no more requests if it is alone; the others are refused as not run', async () => {
    const { path, servers } = await setUp([respondLimited]);
    const responses = await callInTurn(path, 5);
    expect(responses.map(({ status }) => status)).toEqual([200, 503, 503, 503, 503]);
    expect(Number(responses[1]?.headers['retry-after'])).toBeGreaterThan(0.2);
    expect(servers[0]?.heads).toHaveLength(1);
  });

  const LIMIT_INTERVAL_MS = 200;
  const LIMITED = `X-Signature: s\r\nX-Limit: ${1_000 / LIMIT_INTERVAL_MS}\r\n`;
  const waitForPermit = (): Promise<void> => new Promise((resolve) => {
    setTimeout(resolve, LIMIT_INTERVAL_MS + 20);
  });
  const writeFailure = (socket: net.Socket, id: string): void => {
    socket.write(`HTTP/1.1 500 Error\r\nX-Id: ${id}\r\nX-Signature: s\r\n`
      + 'Content-Length: 0\r\n\r\n');
  };

  // Guards against an error page or a refusal, which a server in trouble may generate without the
  // header, that ends its limit.
  test('keeps it after a failure that does not state it', async () => {
    const { path, servers } = await setUp([(socket, id, count) => {
      if (count === 2) writeFailure(socket, id);
      else PathHarness.writeResponse(socket, id, 'limited', LIMITED);
    }]);
    await path.call();
    await waitForPermit();
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 500 });
    expect(await path.call({ requestId: 'r3' })).toMatchObject({ status: 503 });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('loses it by a successful response that does not state it', async () => {
    const { path, servers } = await setUp([(socket, id, count) => {
      if (count > 1) PathHarness.writeResponse(socket, id, 'free');
      else PathHarness.writeResponse(socket, id, 'limited', LIMITED);
    }]);
    await path.call();
    await waitForPermit();
    const responses = await callInTurn(path, 3);
    expect(responses.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(servers[0]?.heads).toHaveLength(4);
  });
});

/** Writes the same bytes repeatedly until the connection is closed. */
function writeWithoutEnd(socket: net.Socket, head: string, bytes: string): void {
  socket.write(head);
  const timer = setInterval(() => socket.write(bytes), 1);
  socket.on('close', () => clearInterval(timer));
}

describe('a server that sends endless bytes', () => {
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
    'in informational responses': (socket) => (
      writeWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20))
    ),
    'that are no HTTP response': (socket) => writeWithoutEnd(socket, '', '\u0000garbage'),
  };
  Object.entries(endless).forEach(([name, write]) => test(`${name} is disconnected`, async () => {
    const { path, servers } = await setUp([(socket, id) => write(socket, id), respondPlain], {
      kind: 'repeatable', timeoutMs: 8_000,
    });
    const startMs = performance.now();
    const headers = { 'x-left': '8000' };
    expect(await path.call({ headers })).toMatchObject({ body: 'for r1', status: 200 });
    // The silence limit of a repeatable request would abandon the server only after 3.6 s.
    expect(performance.now() - startMs).toBeLessThan(3_000);
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  }));

  test('in one event of a stream is disconnected, and the stream is resumed', async () => {
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

  test('does not use up the buffer budget of later responses', async () => {
    const { path } = await setUp([(socket, id, count) => {
      if (count <= 6) {
        writeWithoutEnd(socket, createHead(id, 'Content-Length: 999999\r\n'), 'x'.repeat(900));
      } else PathHarness.writeResponse(socket, id, 'x'.repeat(3_900));
    }]);
    const ids = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'];
    const responses = await Promise.all(ids.map((requestId) => path.call({ requestId })));
    expect(responses.map(({ status }) => status)).toEqual(ids.map(() => 502));
    expect(await path.call({ requestId: 'r7' })).toMatchObject({ status: 200 });
  });
});

describe('a slow stream', () => {
  const route = {
    isResumable: true, kind: 'stream' as const, pauseTargetMs: 100, timeoutMs: 4_000,
  };
  const headers = { 'x-left': '4000' };
  /** Sends `count` events with a pause before each. */
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

  test('is not aborted if no other server can take over', async () => {
    const { path } = await setUp([writeSlowly(1_100, 3)], route);
    const response = await path.call({ headers });
    expect([response.isTruncated, countEvents(response.body)]).toEqual([false, 3]);
  });

  test('is not aborted if the retry budget is used up', async () => {
    const { path, servers } = await setUp([writeSlowly(1_100, 3), respondPlain], route);
    path.setCanRetry(false);
    const response = await path.call({ headers });
    expect([response.isTruncated, countEvents(response.body)]).toEqual([false, 3]);
    expect(servers[1]?.heads).toEqual([]);
  });

  test('that is kept open only by comments is resumed at another server', async () => {
    const { path } = await setUp([
      (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`);
        const timer = setInterval(() => socket.write(': ping\n\n'), 100);
        socket.on('close', () => clearInterval(timer));
      },
      writeSlowly(10, 2),
    ], route);
    const response = await path.call({ headers });
    expect([response.isTruncated, countEvents(response.body)]).toEqual([false, 2]);
  });

  test('that makes no progress and is not resumable ends at its time limit', async () => {
    const { path, servers } = await setUp([(socket, id) => writeWithoutEnd(
      socket,
      `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`,
      ': ping\n\n',
    )], { kind: 'stream', timeoutMs: 400 });
    expect(await path.call({ headers })).toMatchObject({ isTruncated: true });
    await expect.poll(() => servers[0]?.countClosed()).toBe(1);
  });
});

describe('a prompt with a part under which two servers ended', () => {
  const route = { isResumable: true, kind: 'stream' as const, timeoutMs: 4_000 };
  const headers = { 'x-left': '4000', 'x-parts': 'bad:5,own:5', 'x-tokens': '10,10' };
  const reportCrashes = (path: PathHarness.PathHarness): void => {
    const nowMs = performance.now();
    path.applyCrashReport('bad', {
      clearedMs: 0,
      crashes: [{ atMs: nowMs - 600, server: 'a@0' }, { atMs: nowMs - 300, server: 'b@0' }],
    });
  };

  test('is not sent to a further one after the end of its own', async () => {
    const { path, servers } = await setUp([resetConnection, respondPlain], route);
    reportCrashes(path);
    expect(await path.call({ headers })).toMatchObject({ status: 502 });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('is refused as not run when a third one has ended', async () => {
    const { path, servers } = await setUp([resetConnection], { ...route, isResumable: false });
    reportCrashes(path);
    await path.call({ headers });
    const response = await path.call({ headers, requestId: 'r2' });
    expect([response.status, Number(response.headers['retry-after'])]).toEqual([503, 30]);
    expect(servers[0]?.heads).toHaveLength(1);
  });

  // Guards against a sound stream that is cut because it shares a part with others.
  test('is resumed if its stream had gone on for a while', async () => {
    const { path } = await setUp([
      (socket, id) => {
        writeEvents(socket, id, 'id: 1\ndata: a\n\n', false);
        setTimeout(() => socket.write('f\r\nid: 2\ndata: b\n\n\r\n'), 700);
        setTimeout(() => {
          reportCrashes(path);
          socket.destroy();
        }, 1_200);
      },
      (socket, id) => writeEvents(socket, id, 'id: 3\ndata: c\n\n', true),
    ], { ...route, pauseTargetMs: 1_000 });
    expect(await path.call({ headers })).toMatchObject({
      body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n', isTruncated: false,
    });
  });
});

// Guards against a request without a prompt that crashes one server after the other.
describe('a request under which two servers ended', () => {
  const reportCrashes = (path: PathHarness.PathHarness): void => {
    const nowMs = performance.now();
    const fingerprint = RequestFingerprint.hashRequest({
      account: { name: 'shop', priority: undefined },
      body: Buffer.from('body'),
      head: {
        host: 'shop.example', method: 'POST', path: '/a/b', prompt: undefined,
      },
    });
    path.applyCrashReport(RequestTraits.listTraits([], fingerprint)[0] as string, {
      clearedMs: 0,
      crashes: [{ atMs: nowMs - 600, server: 'a@0' }, { atMs: nowMs - 300, server: 'b@0' }],
    });
  };

  test('is not sent to a further one after the end of its own', async () => {
    const { path, servers } = await setUp([resetConnection, respondPlain], { kind: 'repeatable' });
    reportCrashes(path);
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('is not sent to a further one while its own is silent', async () => {
    const { path, servers } = await setUp([() => undefined, respondPlain], { kind: 'repeatable' });
    reportCrashes(path);
    expect(await path.call()).toMatchObject({ status: 504 });
    expect(servers[1]?.heads).toEqual([]);
  });

  test('is refused as not run when a third one has ended, in other chunks too', async () => {
    const { path, servers } = await setUp([resetConnection]);
    reportCrashes(path);
    await path.call();
    const response = await path.call({ chunks: ['bo', 'dy'], requestId: 'r2' });
    expect([response.status, Number(response.headers['retry-after'])])
      .toEqual([503, CrashSuspects.BLOCK_MS / 1_000]);
    expect(servers[0]?.heads).toHaveLength(1);
    expect(await path.call({ chunks: ['other'], requestId: 'r3' })).toMatchObject({ status: 502 });
    expect(servers[0]?.heads).toHaveLength(2);
  });

  test('is sent again after an answer', async () => {
    const { path, servers } = await setUp([(socket, id, count) => (
      count === 1 ? respondPlain(socket, id, count) : socket.destroy()
    )]);
    reportCrashes(path);
    await path.call();
    await path.call({ requestId: 'r2' });
    await path.call({ requestId: 'r3' });
    expect(servers[0]?.heads).toHaveLength(3);
  });
});

// Guards against a load under which a server that has just started crashes again.
describe('a cold server', () => {
  const callTimes = async (path: PathHarness.PathHarness, count: number): Promise<void> => {
    if (count === 0) return;
    await path.call({ requestId: `r${count}` });
    await callTimes(path, count - 1);
  };

  test('gets no more requests than it takes, also if it is alone', async () => {
    const { path, servers } = await setUp([respondPlain]);
    path.applyServer(0, { coldMs: 60_000 });
    await callTimes(path, 20);
    expect(servers[0]?.heads.length).toBeLessThanOrEqual(PathHarness.COLD_REQUESTS_PER_S + 1);
    const response = await path.call({ requestId: 'late' });
    expect([response.status, Number(response.headers['retry-after']) > 0]).toEqual([503, true]);
  });

  test('gets as many as others when it is warm', async () => {
    const { path, servers } = await setUp([respondPlain]);
    path.applyServer(0, { coldMs: 60_000 });
    path.applyServer(0);
    await callTimes(path, 20);
    expect(servers[0]?.heads).toHaveLength(20);
  });
});

describe('an unexpected error', () => {
  test('ends its own request and no other', async () => {
    const { path } = await setUp([respondPlain]);
    path.throwOnce();
    expect(await path.call()).toMatchObject({ status: 502 });
    expect(path.defects).toHaveLength(1);
    expect(await path.call({ requestId: 'r2' })).toMatchObject({ status: 200 });
  });
});

/** In a large fleet, one daemon sends each server about one request per minute. */
describe('a server that failed requests of other daemons', () => {
  test('gets no request of this daemon while others are healthy', async () => {
    const { path, servers } = await setUp([respondPlain, respondPlain]);
    path.setFleetOutcomes([{
      failures: 8, requests: 16, server: 's0@0',
    }]);
    await Promise.all(['r1', 'r2', 'r3'].map((requestId) => path.call({ requestId })));
    expect(servers.map(({ heads }) => heads.length)).toEqual([0, 3]);
  });

  test('is reported to the fleet by this daemon as well', async () => {
    const { path } = await setUp([resetConnection]);
    await path.call();
    expect(path.takeObservedOutcomes()).toEqual([{
      failures: 1, requests: 1, server: 's0@0',
    }]);
  });
});

/** Engines that crash during streams keep their entries in the store for seconds. */
describe('a server that stops responding during a stream', () => {
  test('gets no new request, and is reported to the fleet once', async () => {
    const { path, servers } = await setUp([
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: a\n\n', false),
      (socket, id) => writeEvents(socket, id, 'id: 1\ndata: b\n\n', true),
    ], { kind: 'stream', timeoutMs: 3_000 });
    const headers = { 'x-left': '3000', 'x-tokens': '10,10' };
    path.setFleetOutcomes([{
      failures: 4, requests: 8, server: 's1@0',
    }]);
    const silentResponse = path.call({ headers });
    await new Promise((resolve) => {
      setTimeout(resolve, 700);
    });
    const ids = ['r2', 'r3', 'r4'];
    const responses = await Promise.all(ids.map((requestId) => path.call({ headers, requestId })));
    expect(responses.map(({ isTruncated }) => isTruncated)).toEqual([false, false, false]);
    expect(servers[0]?.heads).toHaveLength(1);
    const reported = path.takeObservedOutcomes().find(({ server }) => server === 's0@0');
    expect(reported).toMatchObject({ failures: 1, requests: 1 });
    expect(await silentResponse).toMatchObject({ isTruncated: true });
  });

  // Guards against a slow caller whose backpressure makes its server look silent.
  test('is not considered silent while the caller applies backpressure', async () => {
    const { path } = await setUp([(socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\n\r\n`);
      // Many megabytes per second, to fill the kernel's socket buffers towards the caller.
      const events = `data: ${'x'.repeat(1_500)}\n\n`.repeat(50);
      const timer = setInterval(() => socket.write(events), 1);
      socket.on('close', () => clearInterval(timer));
    }, respondPlain], { kind: 'stream', timeoutMs: 5_000 });
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
    expect(path.takeObservedOutcomes().filter(({ failures }) => failures > 0)).toEqual([]);
    unread.destroy();
    next.destroy();
  }, 20_000);
});
