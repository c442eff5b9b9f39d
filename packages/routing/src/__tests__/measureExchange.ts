/**
 * Measures one exchange of observations between a daemon and its relay over loopback, without and
 * with reports of load: processor time of both processes, and bytes of the messages by number of
 * servers. Run with `npm run measure:exchange`.
 */
import * as protobuf from '@bufbuild/protobuf';
import * as Effect from 'effect/Effect';
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as Routing from '../index.js';
import * as Relay from '../gen/berylyoke/relay/v1/relay_pb.js';

const WARM_UP = 500;
const EXCHANGES = 1_500;
const MICROS_PER_MS = 1_000;

/** Size of an exchange, as sent by the daemon and as answered by the relay. */
interface Size {
  readonly hasLoad: boolean;
  readonly servers: number;
  readonly accounts: number;
}

const createOutcomes = ({ servers, hasLoad }: Size): readonly Routing.ServerOutcomes[] => (
  Array.from({ length: servers }, (_, index) => ({
    failures: index / 3_000,
    requests: index / 7,
    server: `i-${4_096 + index}@${1_700_000_000_000 + index}`,
    ...hasLoad ? { expectedMs: index * 1.7, observedMs: index * 1.9 } : {},
  }))
);

const createGauges = (id: string, size: Size): Routing.LoadGauges => {
  const gauges = Routing.createLoadGauges(id);
  createOutcomes(size).forEach(({ server }, index) => gauges.addOwn(server, {
    heldTokens: 17_000 * (1 + (index % 16)),
    pendingPromptTokens: 3_700 * (index % 5),
    requests: 1 + (index % 16),
  }));
  Array.from({ length: size.accounts }, (_, index) => (
    gauges.addDemand(`account-${index}`, 5_000, performance.now())
  ));
  return gauges;
};

const readCpuMs = (): number => {
  const { system, user } = process.cpuUsage();
  return (system + user) / MICROS_PER_MS;
};

const runRelay = async (size: Size): Promise<void> => {
  const gauges = createGauges('relay', size);
  const outcomes = createOutcomes(size);
  const listener = await Routing.startRelayListener('127.0.0.1:0', {
    readCopy: () => undefined,
    receiveCounts: async () => true,
    receiveObservations: ({ load }) => {
      const nowMs = performance.now();
      gauges.setScope('relay', nowMs);
      return {
        limits: [],
        load: load === undefined ? undefined : gauges.receiveReport(load, nowMs),
        outcomes,
      };
    },
  });
  process.on('message', () => process.send?.(readCpuMs()));
  process.on('disconnect', () => listener.close());
  process.send?.(listener.address);
};

const waitForMessage = (relay: childProcess.ChildProcess): Promise<unknown> => (
  new Promise((resolve) => {
    relay.once('message', resolve);
  })
);

const measure = async (sent: Size, received: Size): Promise<void> => {
  const relay = childProcess.fork(
    url.fileURLToPath(import.meta.url),
    ['relay', JSON.stringify(received)],
    { execArgv: process.execArgv },
  );
  const address = String(await waitForMessage(relay));
  const client = Routing.createRelayClient();
  const gauges = createGauges('d', sent);
  const outcomes = createOutcomes(sent);
  let failures = 0;
  const repeat = async (times: number): Promise<void> => {
    if (times === 0) return;
    const sentMs = performance.now();
    const load = sent.hasLoad ? gauges.buildReport(sentMs) : undefined;
    const answer = await Effect.runPromise(Effect.either(
      client.exchangeObservations(address, { limits: [], load, outcomes }),
    ));
    if (answer._tag === 'Left') failures += 1;
    else if (answer.right.load !== undefined) gauges.applyAnswer(answer.right.load, sentMs);
    await repeat(times - 1);
  };
  const readRelayCpuMs = async (): Promise<number> => {
    const answer = waitForMessage(relay);
    relay.send('read');
    return Number(await answer);
  };
  await repeat(WARM_UP);
  const startMs = readCpuMs();
  const relayStartMs = await readRelayCpuMs();
  await repeat(EXCHANGES);
  const daemonMs = (readCpuMs() - startMs) / EXCHANGES;
  const relayMs = (await readRelayCpuMs() - relayStartMs) / EXCHANGES;
  relay.kill();
  process.stdout.write(`${sent.hasLoad ? 'with load' : 'without load'}, ${sent.servers} servers `
    + `sent, ${received.servers} received: daemon ${daemonMs.toFixed(3)} ms, relay `
    + `${relayMs.toFixed(3)} ms, ${failures} failed\n`);
};

/** Counts the bytes of a message. */
const countBytes = (size: Size): number => protobuf.toBinary(
  Relay.ExchangeOutcomesResponseSchema,
  protobuf.create(Relay.ExchangeOutcomesResponseSchema, Routing.encodeObservations({
    limits: [],
    load: size.hasLoad
      ? { ...createGauges('i-4096', size).buildReport(performance.now()), ageMs: 100 }
      : undefined,
    outcomes: createOutcomes(size),
  })),
).length;

const measureAll = async (): Promise<void> => {
  [15, 50, 100, 200, 512].forEach((servers) => {
    const without = countBytes({ accounts: 0, hasLoad: false, servers });
    const bytes = countBytes({ accounts: 10, hasLoad: true, servers });
    process.stdout.write(`${servers} servers: ${without} bytes without load, ${bytes} with it\n`);
  });
  const measureSize = (hasLoad: boolean, servers: number): Promise<void> => measure(
    { accounts: 10, hasLoad, servers },
    { accounts: 10, hasLoad, servers: 100 },
  );
  await measureSize(false, 15);
  await measureSize(true, 15);
  await measureSize(false, 100);
  await measureSize(true, 100);
};

if (process.argv[2] === 'relay') await runRelay(JSON.parse(process.argv[3] ?? '') as Size);
else await measureAll();
