/** A usage window is reported twice with different counts; see claim.txt. */
import * as path from 'node:path';
import * as url from 'node:url';
import * as StandIns from '../stand-ins-2.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const IS_CALM = process.env.TROUBLE === '0';

const WINDOW_MS = StandIns.BOUNDS.windowS * 1_000;
/** Age at which the store deletes records, by the settings of the small sites. */
const KEEP_MS = 300_000;
/** Length of the cut, that of the `core_cut` in the list of the site. */
const CUT_MS = 5_500;
const CUT_BEFORE_END_MS = 1_500;
/** Time after the end of the window at which the store forgets its history. */
const FORGET_AFTER_MS = 3_000;
/** Time after the end of the window at which the process of the holder is killed. */
const KILL_AFTER_MS = 8_000;
const RESTART_MS = 1_000;
const WATCH_AFTER_MS = 25_000;

const { note, save } = StandIns.openRecord(FOLDER);
const platform = StandIns.startPlatform({ keepMs: KEEP_MS, note });
const runs = new Map();
const backend = await StandIns.listen((request, response) => {
  const window = Math.floor(Date.now() / WINDOW_MS);
  runs.set(window, (runs.get(window) ?? 0) + 1);
  request.resume();
  setTimeout(() => {
    response.writeHead(200, {
      'X-Berylyoke-Request-Id': request.headers['x-berylyoke-request-id'],
      'X-Berylyoke-Server-Stamp': 'stamp',
    });
    response.end('whole');
  }, 15);
});
platform.write('keyed.op', 'config', {
  limits: {
    headerTimeoutMs: 10_000, idleTimeoutMs: 15_000, maxBodyBytes: 4_194_304, maxHeaderBytes: 16_384,
  },
  routes: [{
    goalMs: 100,
    hostname: 'desk.example',
    maxAttempts: 2,
    name: 'r-1',
    pathPrefix: '/stock/',
    priority: 2,
    routeType: 'safe',
    service: 'desk',
    timeoutMs: 600,
  }],
  services: [{ healthPath: '/healthz', maxConns: 110, name: 'desk' }],
  tenants: [{ apiKeys: ['key-1'], name: 'fans' }],
  version: 1,
});
platform.write('keyed.servers', 'i-1', {
  address: `127.0.0.1:${backend.port}`,
  born: Date.now(),
  coldRemainingMs: 0,
  sequence: 1,
  service: 'desk',
  slots: 6,
  state: 'ready',
  version: 'v1',
  zone: 'zone-1',
});
const doors = await Promise.all([1, 2].map(() => platform.open()));
const machines = await Promise.all(doors.map(({ address }, index) => (
  StandIns.createMachine(`front-${index + 1}`, 'zone-1', address)
)));
let timers = [];
const finish = async (code, text) => {
  note(text);
  timers.forEach((timer) => clearInterval(timer));
  await Promise.all(machines.map(({ kill }) => kill()));
  await Promise.all(machines.map(({ remove }) => remove()));
  platform.close();
  backend.server.close();
  backend.server.closeAllConnections();
  runs.forEach((count, window) => note(`replicas began ${count} requests in window ${window}`));
  await save();
  process.stdout.write(`${text}\n`);
  // The timers of the clients and the stand-ins would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
};

const [holder, other] = machines;
holder.start();
if (!await StandIns.waitReady([holder])) await finish(2, 'a daemon did not become ready');
// The first machine has held the duties for a while when the second one starts.
await StandIns.sleep(3_000);
other.start();
if (!await StandIns.waitReady([other])) await finish(2, 'a daemon did not become ready');
let sent = 0;
const call = (machine) => {
  sent += 1;
  StandIns.send(machine, {
    host: 'desk.example', id: `id-${sent}`, key: 'key-1', target: '/stock/fan',
  });
};
// The balancer's hash gives the second machine few clients.
timers = [
  setInterval(() => call(holder), 25),
  setInterval(() => call(other), 1_500),
];
while (new Set(platform.usage.map(({ windowId }) => windowId)).size < 2) {
  // eslint-disable-next-line no-await-in-loop
  await StandIns.sleep(100);
}
const window = Math.floor((Date.now() + CUT_BEFORE_END_MS + 500) / WINDOW_MS);
const endMs = (window + 1) * WINDOW_MS;
await StandIns.sleep(endMs - CUT_BEFORE_END_MS - Date.now());
if (!IS_CALM) {
  note(`front-2 is cut off from the store; window ${window} ends in ${endMs - Date.now()} ms`);
  doors[1].cut();
  await StandIns.sleep(endMs + FORGET_AFTER_MS - Date.now());
  note('the store forgets its history');
  platform.forget();
  await StandIns.sleep(endMs - CUT_BEFORE_END_MS + CUT_MS - Date.now());
  note('the cut heals');
  doors[1].heal();
  await StandIns.sleep(endMs + KILL_AFTER_MS - Date.now());
  note('the process of front-1, which holds the duties, is killed');
  await holder.kill();
  await StandIns.sleep(RESTART_MS);
  note('it is started again');
  holder.start();
}
await StandIns.sleep(endMs + WATCH_AFTER_MS - Date.now());
const reported = new Map();
const isBroken = platform.usage.some(({ counts, windowId }) => {
  const text = JSON.stringify(Object.entries(counts).sort());
  const known = reported.get(windowId) ?? text;
  reported.set(windowId, known);
  return known !== text;
});
if (reported.size < 4) await finish(2, 'too few windows were reported');
await finish(isBroken ? 1 : 0, isBroken
  ? 'ONE: a window was reported twice with different counts'
  : 'no window was reported twice with different counts');
