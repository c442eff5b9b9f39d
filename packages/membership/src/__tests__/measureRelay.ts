/**
 * Measures CPU time, memory and messages of one relay of a data centre over loopback connections:
 * `npm run measure:relay -- --members 82 --seconds 20`. The other members run in a child process.
 * Prints one line of JSON to standard output.
 */
import * as childProcess from 'node:child_process';
import * as util from 'node:util';
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Membership from '../index.js';

const HEARTBEAT_MS = 1_000;
const SETTLE_MS = 25_000;

const { values } = util.parseArgs({
  options: {
    members: { default: '82', type: 'string' },
    seconds: { default: '20', type: 'string' },
    seed: { default: '', type: 'string' },
  },
});
const memberCount = Number(values.members);
const seconds = Number(values.seconds);

const names = Array.from({ length: memberCount }, (_, i) => `m${i}`);

function buildMember(daemonId: string): Membership.Member {
  return {
    address: '',
    daemonId,
    dataCentre: 'dc',
    incarnation: '1-a',
    region: 'r',
    sequence: 0,
    status: Membership.STATUS.live,
  };
}

interface RunningMember extends Membership.Membership {
  readonly address: string;
  readonly stop: () => Promise<void>;
}

async function startMember(
  daemonId: string,
  seed: string,
): Promise<RunningMember> {
  let timer: NodeJS.Timeout | undefined;
  let acceptStream: Membership.AcceptStream | undefined;
  const server = await Membership.startPeerServer({ host: '127.0.0.1', port: 0 }, (peerStream) => {
    Core.invariant(
      acceptStream !== undefined,
      'A peer opened a stream before the membership service was created.',
    );
    return acceptStream(peerStream);
  });
  const membership = Membership.createMembership({
    clock: Core.systemClock,
    getSeeds: () => (seed === '' ? [] : [{ address: seed, dataCentre: 'dc' }]),
    self: {
      address: server.address, daemonId, dataCentre: 'dc', incarnation: '1-a', region: 'r',
    },
    store: Config.createConfigStore(Core.systemClock, 10_000),
    timing: { heartbeatMs: HEARTBEAT_MS, suspectMs: 4_000 },
    transport: Membership.createConnectTransport(),
  });
  acceptStream = membership.acceptStream;
  setTimeout(() => {
    timer = setInterval(membership.runHeartbeat, HEARTBEAT_MS);
  }, Math.random() * HEARTBEAT_MS);
  return {
    ...membership,
    address: server.address,
    stop: async () => {
      clearInterval(timer);
      membership.close();
      await server.close();
    },
  };
}

const [relay = 'm0'] = Membership.chooseRelays('dc', names.map(buildMember))
  .map(({ daemonId }) => daemonId);

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function measure(): Promise<void> {
  const membership = await startMember(relay, '');
  const child = childProcess.fork(process.argv[1] ?? '', [
    '--members', String(memberCount), '--seed', membership.address,
  ], { execArgv: process.execArgv });
  await wait(SETTLE_MS);
  const before = { counts: membership.getCounts(), cpu: process.cpuUsage(), ms: Date.now() };
  await wait(seconds * 1_000);
  const cpu = process.cpuUsage(before.cpu);
  const counts = membership.getCounts();
  const elapsedMs = Date.now() - before.ms;
  child.kill();
  process.stdout.write(`${JSON.stringify({
    acceptedStreams: counts.acceptedStreams,
    cpuMsPerSecond: Math.round(((cpu.user + cpu.system) / elapsedMs) * 10) / 10,
    heapMb: Math.round(process.memoryUsage().heapUsed / 1_048_576),
    members: memberCount,
    openedStreams: counts.openedStreams,
    receivedPerSecond: Math.round(
      ((counts.receivedMessages - before.counts.receivedMessages) * 1_000) / elapsedMs,
    ),
    rssMb: Math.round(process.memoryUsage().rss / 1_048_576),
    sentPerSecond: Math.round(
      ((counts.sentMessages - before.counts.sentMessages) * 1_000) / elapsedMs,
    ),
  })}\n`);
  await membership.stop();
}

if (values.seed === '') await measure();
else {
  await Promise.all(
    names.filter((name) => name !== relay).map((name) => startMember(name, values.seed)),
  );
}
