/**
 * Bench of one decision: a request is submitted, a running one ends, and the next is taken from the
 * queue and given a server. Prints the median and the 99th percentile by replicas and queue length.
 */
import * as Scheduling from '@berylyoke/scheduling';
import * as Histograms from 'hdr-histogram-js';
import * as Random from './Random.js';

const WARM_UP = 3_000;
const SAMPLES = 10_000;
const SLOTS = 16;
const ACCOUNTS = 100;
const SEED = 1;

const REPLICAS = [30, 100, 300, 1_000];
const QUEUED = [100, 1_000, 10_000];

/** Times of one decision at one size, in microseconds. */
interface DecisionTimes {
  readonly replicas: number;
  readonly queued: number;
  readonly medianUs: number;
  readonly p99Us: number;
}

function buildRequest(index: number, nowMs: number): Scheduling.ScheduledRequest {
  return {
    account: `account-${index % ACCOUNTS}`,
    arrivedMs: nowMs,
    class: {
      classId: `class-${index % 5}`,
      firstTokenMs: 1e9,
      floorShare: 0.02,
      maxQueueMs: 1e9,
      tier: index % 5,
    },
    excluded: [],
    isResumable: true,
    limits: { concurrentRequests: 1_000_000, tokensPerMinute: 1e12 },
    pool: 'model',
    prefix: { hash: (index % 500) * 7_919, tokens: 300 },
    promptTokens: 500,
    requestId: `request-${index}`,
    weight: 1 + (index % 3),
  };
}

function measureDecision(replicas: number, queued: number): DecisionTimes {
  const draws = Random.createDraws(SEED);
  const scheduler = Scheduling.createScheduler(draws.uniform, {
    ...Scheduling.defaultSchedulerOptions,
    queue: { ...Scheduling.defaultQueueOptions, maxRequests: queued * 2 },
  });
  scheduler.setServers(Array.from({ length: replicas }, (_, index) => ({
    adapters: [],
    dataCentre: `dc-${index % 4}`,
    kind: 'cheap' as const,
    models: ['model'],
    roundTripMs: 1,
    role: 'mixed' as const,
    serverId: `server-${index}`,
    slots: SLOTS,
    state: 'live' as const,
  })), 1, 0);
  const running: string[] = [];
  let index = 0;
  const submit = (nowMs: number): void => {
    const step = scheduler.submitRequest(buildRequest(index, nowMs), nowMs);
    index += 1;
    running.push(...step.starts.map(({ request }) => request.requestId));
  };
  Array.from({ length: replicas * SLOTS + queued }, () => submit(0));
  const times = Histograms.build({ numberOfSignificantValueDigits: 3 });
  Array.from({ length: WARM_UP + SAMPLES }, (_, sample) => sample).forEach((sample) => {
    const nowMs = sample;
    const at = Math.floor(draws.uniform() * running.length);
    const ended = running[at] as string;
    running[at] = running[running.length - 1] as string;
    running.pop();
    const startedNs = process.hrtime.bigint();
    submit(nowMs);
    const step = scheduler.recordEnd(ended, 'ok', nowMs);
    const elapsedNs = Number(process.hrtime.bigint() - startedNs);
    running.push(...step.starts.map(({ request }) => request.requestId));
    if (sample >= WARM_UP) times.recordValue(elapsedNs);
  });
  return {
    medianUs: times.getValueAtPercentile(50) / 1_000,
    p99Us: times.getValueAtPercentile(99) / 1_000,
    queued,
    replicas,
  };
}

function printTimes({
  medianUs, p99Us, queued, replicas,
}: DecisionTimes): void {
  process.stdout.write([
    `${replicas} replicas`.padEnd(14),
    `${queued} queued`.padEnd(13),
    `median ${medianUs.toFixed(1)} us`.padEnd(18),
    `p99 ${p99Us.toFixed(1)} us`,
  ].join('  ').concat('\n'));
}

REPLICAS.forEach((replicas) => printTimes(measureDecision(replicas, 1_000)));
QUEUED.forEach((queued) => printTimes(measureDecision(300, queued)));
