import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as net from 'node:net';
import * as Vitest from 'vitest';
import * as Membership from '../../index.js';

const {
  describe, expect, test, vi,
} = Vitest;

const INTERVAL_MS = 20;
const LISTEN = { host: '127.0.0.1', port: 0 };

interface RunningPeer {
  readonly address: string;
  readonly membership: Membership.Membership;
  readonly stop: () => Promise<void>;
}

async function startPeer(
  daemonId: string,
  seeds: readonly string[],
  incarnation = '1-a',
  port = 0,
): Promise<RunningPeer> {
  let accept: Membership.AcceptLink | undefined;
  const server = await Membership.startPeerServer({ ...LISTEN, port }, (link) => {
    Core.invariant(accept !== undefined, 'A stream came before the service was created.');
    return accept(link);
  });
  const membership = Membership.createMembership({
    clock: Core.systemClock,
    getSeeds: () => seeds.map((address) => ({ address, dataCentre: undefined })),
    self: {
      address: server.address, daemonId, dataCentre: 'dc', incarnation, region: 'r',
    },
    store: Config.createConfigStore(Core.systemClock, 10_000),
    timing: { heartbeatMs: INTERVAL_MS, suspectMs: 30 * INTERVAL_MS },
    transport: Membership.createConnectTransport(),
  });
  accept = membership.acceptStream;
  const timer = setInterval(membership.runHeartbeat, INTERVAL_MS);
  return {
    address: server.address,
    membership,
    stop: async () => {
      clearInterval(timer);
      membership.close();
      await server.close();
    },
  };
}

function listLive({ membership }: RunningPeer): readonly string[] {
  return membership.getView().localMembers
    .filter(({ status }) => status === Membership.STATUS.live)
    .map(({ daemonId, incarnation }) => `${daemonId}/${incarnation}`);
}

describe('streams over connect', () => {
  test('join peers, lose one that ends and find it again under a new incarnation', async () => {
    const a = await startPeer('a', []);
    const b = await startPeer('b', [a.address]);
    await vi.waitUntil(() => listLive(a).length === 2 && listLive(b).length === 2, 20_000);
    const { address } = b;
    await b.stop();
    await vi.waitUntil(() => listLive(a).length === 1, 20_000);
    const again = await startPeer('b', [], '2-a', Number(address.split(':')[1]));
    // The peer that came back knows nobody; the other one reaches it at its old address.
    const seeded = await startPeer('c', [a.address, again.address]);
    await vi.waitUntil(() => listLive(a).join() === 'a/1-a,b/2-a,c/1-a', 20_000);
    await vi.waitUntil(() => listLive(again).length === 3, 20_000);
    expect(new Set([a, again, seeded].map(({ membership }) => (
      membership.getView().relays.join()
    ))).size).toBe(1);
    await Promise.all([a, again, seeded].map(({ stop }) => stop()));
  });

  // Guards against a connection that opens and then stays silent for good.
  test('closes a connection that stays silent and opens a new one', async () => {
    const sockets: net.Socket[] = [];
    let closed = 0;
    const silent = net.createServer((socket) => {
      sockets.push(socket);
      socket.resume();
      socket.on('error', () => undefined);
      socket.on('close', () => {
        closed += 1;
      });
    });
    await new Promise<void>((resolve) => {
      silent.listen(0, LISTEN.host, resolve);
    });
    const { port } = silent.address() as net.AddressInfo;
    const peer = await startPeer('a', [`${LISTEN.host}:${port}`]);
    await vi.waitUntil(() => sockets.length >= 2 && closed >= 1, 30_000);
    await peer.stop();
    expect(peer.membership.getCounts().openedStreams).toBe(0);
    sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      silent.close(() => resolve());
    });
  });

  // Guards against a daemon that ends by an unhandled error when an address that was a peer's is
  // taken over by a server of another protocol.
  test.each([
    ['answers HTTP/1', 'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n', false],
    ['answers HTTP/1 and closes', 'HTTP/1.1 400 Bad Request\r\n\r\n', true],
    ['closes at once', '', true],
  ])('goes on when a server at the address %s', async (_, text, isClosing) => {
    const accepted: net.Socket[] = [];
    const foreign = net.createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => undefined);
      socket.write(text);
      if (isClosing) socket.end();
    });
    await new Promise<void>((resolve) => {
      foreign.listen(0, LISTEN.host, resolve);
    });
    const { port } = foreign.address() as net.AddressInfo;
    const peer = await startPeer('a', [`${LISTEN.host}:${port}`]);
    await vi.waitUntil(() => accepted.length >= 5, 30_000);
    await peer.stop();
    expect(peer.membership.getCounts().openedStreams).toBe(0);
    accepted.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      foreign.close(() => resolve());
    });
  });
});
