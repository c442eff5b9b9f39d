/**
 * One of four engines sends bytes without end in the body of its answers, in chunks of one byte.
 * Requests to another, sound service must be answered all the same.
 */
import * as http from 'node:http';
import * as fleet from '../fleet.mjs';
import * as record from '../record.mjs';
import * as servers from '../servers.mjs';
import * as store from '../store.mjs';

const HOST = '127.0.0.1';
const ENGINES = 4;
/** Prompts begin with one of so many shared parts. */
const SHARED_PARTS = 87;

/** A class of the site: first event after 100 ms, 40 events, time limit 12 s, goal 2.5 s. */
const EVENTS = 40;
const EVENT_INTERVAL_MS = 50;
const FIRST_EVENT_MS = 100;
const STREAM_LIMIT_MS = 12_000;
const STREAM_GOAL_MS = 2_500;
const PAUSE_GOAL_MS = 800;
/** Callers leave a stream after the longest of these gaps. */
const MAX_GAP_MS = Math.max(2_000, 4 * STREAM_GOAL_MS, 8 * PAUSE_GOAL_MS);

const STOCK_WORK_MS = 20;
const STOCK_LIMIT_MS = 3_000;
const STOCK_TIMEOUT_MS = 600;

const STREAMS_PER_S = 5;
const STOCK_PER_S = 10;
const CALM_MS = 6_000;
const TROUBLE_MS = 12_000;
const AFTER_MS = 4_000;

/** A final answer is due this long after the time limit of a route. */
const ANSWER_SLACK_MS = 500;
const MIN_LATE = 8;
const MAX_LATE_SHARE = 0.5;

const ENDLESS = Buffer.from('1\r\nx\r\n'.repeat(10_000));

function sendEvents(response) {
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    if (response.destroyed || count > EVENTS) {
      clearInterval(timer);
      response.end();
    } else response.write(`id: ${count}\ndata: tokens\n\n`);
  }, EVENT_INTERVAL_MS);
}

/** Writes chunks until the caller closes. */
function sendWithoutEnd(socket) {
  const pump = () => {
    if (socket.destroyed) return;
    if (socket.write(ENDLESS)) setImmediate(pump);
    else socket.once('drain', pump);
  };
  pump();
}

record.runCase(import.meta.url, async ({ cleanups, note }) => {
  const platform = await store.startPlatform(HOST);
  cleanups.push(platform.close);
  const state = { endless: 0, faulty: -1 };
  const requestsAt = Array.from({ length: ENGINES }, () => 0);
  const engines = await Promise.all(requestsAt.map((_, index) => (
    servers.startHttpServer(HOST, (request, response) => {
      request.resume();
      response.on('error', () => undefined);
      requestsAt[index] += 1;
      setTimeout(() => {
        response.writeHead(200, servers.createAnswerHeaders(request, {
          'content-type': 'text/event-stream',
        }));
        if (state.faulty === index) {
          state.endless += 1;
          response.flushHeaders();
          sendWithoutEnd(response.socket);
        } else sendEvents(response);
      }, FIRST_EVENT_MS);
    })
  )));
  const desks = await Promise.all([1, 2].map(() => servers.startHttpServer(
    HOST,
    (request, response) => servers.answerPlain(request, response, STOCK_WORK_MS),
  )));
  [...engines, ...desks].forEach(({ close }) => cleanups.push(close));
  platform.writeKey('keyed.op', 'config', fleet.createConfig(3, [
    fleet.createRoute('stock', 'desk', 'safe', {
      goalMs: 121, maxAttempts: 2, timeoutMs: STOCK_TIMEOUT_MS,
    }),
    fleet.createRoute('quotes', 'engines', 'streaming', {
      gapGoalMs: PAUSE_GOAL_MS, goalMs: STREAM_GOAL_MS, timeoutMs: STREAM_LIMIT_MS,
    }),
  ], ['desk', 'engines']));
  fleet.registerServers(platform, 'engines', engines, HOST);
  fleet.registerServers(platform, 'desk', desks, HOST);

  const { daemons, exits } = await fleet.startFleet({
    cleanups, note, platformAddress: platform.address,
  });

  let count = 0;
  const stock = [];
  const streams = [];
  const readiness = [];
  const startMs = performance.now();
  const timers = daemons.flatMap((daemon) => {
    const agent = new http.Agent({ keepAlive: true });
    cleanups.push(() => agent.destroy());
    const sendStock = () => {
      count += 1;
      const atMs = performance.now() - startMs;
      servers.sendRequest({
        agent,
        daemon,
        path: `/stock/${count}`,
        requestId: `stock-${count}`,
        timeLimitMs: STOCK_LIMIT_MS,
      }).then((result) => stock.push({ ...result, atMs }));
    };
    const sendStream = () => {
      count += 1;
      servers.sendRequest({
        agent,
        body: 'prompt',
        daemon,
        headers: {
          'x-berylyoke-model': 'm',
          'x-berylyoke-prefix-hash': `a${count % SHARED_PARTS}:13300,b${count}:3720`,
          'x-berylyoke-token-count': '17020,120',
        },
        maxGapMs: MAX_GAP_MS,
        method: 'POST',
        path: `/quotes/${count}`,
        requestId: `quote-${count}`,
        timeLimitMs: STREAM_LIMIT_MS,
      }).then((result) => streams.push(result));
    };
    const askReadiness = async () => {
      const atMs = performance.now() - startMs;
      readiness.push({ atMs, name: daemon.name, status: await daemon.readReadiness() });
    };
    return [
      setInterval(sendStock, 1_000 / STOCK_PER_S),
      setInterval(sendStream, 1_000 / STREAMS_PER_S),
      setInterval(askReadiness, 1_000),
    ];
  });
  await fleet.waitFor(CALM_MS);
  note(`requests at the engines: ${requestsAt.join()}`);
  if (record.hasTrouble) state.faulty = requestsAt.indexOf(Math.max(...requestsAt));
  await fleet.waitFor(TROUBLE_MS);
  state.faulty = -1;
  note(`disruption ends; answers without end: ${state.endless}`);
  await fleet.waitFor(AFTER_MS);
  timers.forEach(clearInterval);
  await fleet.waitFor(STREAM_LIMIT_MS + 2_000);

  const before = stock.filter(({ atMs }) => atMs < CALM_MS);
  const during = stock.filter(({ atMs }) => atMs >= CALM_MS && atMs < CALM_MS + TROUBLE_MS);
  const beyond = stock.filter(({ elapsedMs }) => elapsedMs > STOCK_TIMEOUT_MS);
  const late = beyond.filter(({ elapsedMs }) => elapsedMs > STOCK_TIMEOUT_MS + ANSWER_SLACK_MS);
  const describe = (list) => {
    const sorted = list.map(({ elapsedMs }) => Math.round(elapsedMs)).sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    return `median ${median} ms, longest ${sorted.at(-1)} ms; ${servers.countEnds(list)}`;
  };
  note(`stock before: ${describe(before)}`);
  note(`stock during: ${describe(during)}`);
  note(`stock without an answer at ${STOCK_TIMEOUT_MS} ms: ${beyond.length}`);
  note(`of these without an answer ${ANSWER_SLACK_MS} ms later: ${late.length}`);
  note(`streams: ${servers.countEnds(streams)}`);
  const misses = readiness.filter(({ status }) => status !== 200);
  note(`readiness questions: ${readiness.length}, without a 200 within 1 s: ${misses.length}`);
  misses.forEach(({ atMs, name, status }) => note(`${name} at ${Math.round(atMs)}: ${status}`));
  note(`ends of processes: ${JSON.stringify(exits)}`);
  if (before.filter(({ end }) => end === '200').length < 50) {
    throw new Error('too few requests were answered before the disruption');
  }
  return [
    ...late.length >= MIN_LATE && late.length > beyond.length * MAX_LATE_SHARE
      ? [`CONFIG: ${late.length} of ${beyond.length} requests without an answer at the route's `
        + `time limit had none ${ANSWER_SLACK_MS} ms later`]
      : [],
    ...exits.length > 0 ? [`a process ended by itself ${exits.length} times`] : [],
  ];
});
