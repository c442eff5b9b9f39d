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
  let acceptStream: Membership.AcceptStream | undefined;
  const server = await Membership.startPeerServer({ ...LISTEN, port }, (peerStream) => {
    Core.invariant(
      acceptStream !== undefined,
      'A peer opened a stream before the membership service was created.',
    );
    return acceptStream(peerStream);
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
  acceptStream = membership.acceptStream;
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

describe('peer streams over connect-es', () => {
  test('peers join, mark a stopped peer as lost and reconnect to its new incarnation', async () => {
    const a = await startPeer('a', []);
    const b = await startPeer('b', [a.address]);
    await vi.waitUntil(() => listLive(a).length === 2 && listLive(b).length === 2, 20_000);
    const { address } = b;
    await b.stop();
    await vi.waitUntil(() => listLive(a).length === 1, 20_000);
    const restarted = await startPeer('b', [], '2-a', Number(address.split(':')[1]));
    // The restarted peer has no seeds; the other one connects to it at its old address.
    const seeded = await startPeer('c', [a.address, restarted.address]);
    await vi.waitUntil(() => listLive(a).join() === 'a/1-a,b/2-a,c/1-a', 20_000);
    await vi.waitUntil(() => listLive(restarted).length === 3, 20_000);
    expect(new Set([a, restarted, seeded].map(({ membership }) => (
      membership.getView().relays.join()
    ))).size).toBe(1);
    await Promise.all([a, restarted, seeded].map(({ stop }) => stop()));
  });

  // Guards against a connection that is accepted, then never receives data and is never closed.
  test('closes a connection that receives no data and opens a new one', async () => {
    const sockets: net.Socket[] = [];
    let closed = 0;
    const silentServer = net.createServer((socket) => {
      sockets.push(socket);
      socket.resume();
      socket.on('error', () => undefined);
      socket.on('close', () => {
        closed += 1;
      });
    });
    await new Promise<void>((resolve) => {
      silentServer.listen(0, LISTEN.host, resolve);
    });
    const { port } = silentServer.address() as net.AddressInfo;
    const peer = await startPeer('a', [`${LISTEN.host}:${port}`]);
    await vi.waitUntil(() => sockets.length >= 2 && closed >= 1, 30_000);
    await peer.stop();
    expect(peer.membership.getCounts().openedStreams).toBe(0);
    sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      silentServer.close(() => resolve());
    });
  });

  // Guards against an unhandled error that ends the daemon when a server of another protocol now
  // listens at the former address of a peer.
  test.each([
    ['answers HTTP/1', 'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n', false],
    ['answers HTTP/1 and closes', 'HTTP/1.1 400 Bad Request\r\n\r\n', true],
    ['closes at once', '', true],
  ])('keeps running and retries when a server at the address %s', async (_, text, isClosing) => {
    const accepted: net.Socket[] = [];
    const otherServer = net.createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => undefined);
      socket.write(text);
      if (isClosing) socket.end();
    });
    await new Promise<void>((resolve) => {
      otherServer.listen(0, LISTEN.host, resolve);
    });
    const { port } = otherServer.address() as net.AddressInfo;
    const peer = await startPeer('a', [`${LISTEN.host}:${port}`]);
    await vi.waitUntil(() => accepted.length >= 5, 30_000);
    await peer.stop();
    expect(peer.membership.getCounts().openedStreams).toBe(0);
    accepted.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      otherServer.close(() => resolve());
    });
  });
});
