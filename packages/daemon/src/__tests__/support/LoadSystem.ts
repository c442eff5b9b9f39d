/**
 * The demo system with the limits of the smallest VM, for load tests. They check only that the
 * daemon lives, that its peak memory and its descriptors stay under a bound, and that it answers an
 * ordinary request afterwards.
 */
import * as Testkit from '@berylyoke/testkit';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import { expect, vi } from 'vitest';
import type * as Crowd from './Crowd.js';

/** Memory of the smallest VM; its daemon runs with a heap of 160 MB. */
const MAX_RESIDENT_MB = 210;
const HEAP_OPTION = '--max-old-space-size=160';
/**
 * Descriptors of the smallest VM for sockets. The limits below allow the entry listener 400 and the
 * two others fewer.
 */
const MAX_DESCRIPTORS = 1_000;
/** Largest body in the settings of the tests. */
export const BODY_BYTES = 1_000_000;
/** Size of the answers of the plain service. */
const ANSWER_BYTES = 900_000;
const HTTP_OK = 200;
const KB_PER_MB = 1_024;
const WAIT_OPTIONS = { interval: 100, timeout: 20_000 };

const LISTS = `${Testkit.DEMO_LISTS_WITH_LONG_TARGETS}
[[routes]]
path = "/catalogue"
methods = ["GET"]
service = "catalogue"
class = "stock-check"
repeatable = true
open = true
`;

/** A system with one daemon that the crowds connect to. */
export interface LoadSystem {
  readonly entry: string;
  readonly operator: string;
  readonly peerAddress: string;
  readonly key: string;
  readonly model: string;
  /** Connects a crowd, disconnects it and checks the daemon. */
  readonly runCrowd: (name: string, start: () => Promise<Crowd.Crowd>) => Promise<void>;
  readonly stop: () => Promise<void>;
}

async function readPeakMb(pid: number): Promise<number> {
  const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KB_PER_MB;
}

async function startCatalogue(): Promise<http.Server> {
  const answer = Buffer.alloc(ANSWER_BYTES, 'a');
  const server = http.createServer((_, response) => response.end(answer));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

async function findPeerAddress(settingsFile: string): Promise<string> {
  const text = await fs.readFile(settingsFile, 'utf8');
  return `127.0.0.1:${/\[peer\]\s+port = (\d+)/.exec(text)?.[1] ?? ''}`;
}

/** Starts the system. */
export async function startLoadSystem(): Promise<LoadSystem> {
  const catalogue = await startCatalogue();
  const system = await Testkit.startDemoSystem({
    daemonNodeArgs: [HEAP_OPTION],
    lists: LISTS,
    port: 0,
    settings: { limits: { body_bytes: BODY_BYTES, connections: 400, request_read_ms: 20_000 } },
  });
  const {
    description: {
      entries, key, model, operator, settings,
    }, engines,
  } = system;
  const entry = entries[0] as string;
  const createEntry = (id: string, port: number): Testkit.VmEntry => ({
    address: `127.0.0.1:${port}`,
    dataCentre: 'gulf-texas-a',
    id,
    kind: 'dear',
    models: id === 'catalogue-1' ? [] : [model],
    priceCents: 10,
    role: id === 'catalogue-1' ? 'service' : 'engine',
    service: id === 'catalogue-1' ? 'catalogue' : '',
    state: 'live',
  });
  system.vmList.setEntries([
    ...engines.map(({ port }, index) => createEntry(`engine-${index + 1}`, port)),
    createEntry('catalogue-1', (catalogue.address() as net.AddressInfo).port),
  ]);
  const daemon = system.daemons[0] as Testkit.DemoProcess;
  const pid = daemon.pid as number;
  let exitStatus: number | string | null | undefined;
  daemon.exited.then((status) => {
    exitStatus = status;
  }, () => undefined);

  const answerOrdinaryRequest = async (): Promise<void> => {
    const { status } = await Testkit.requestText(`${entry}/v1/chat/completions`, {
      body: JSON.stringify({ max_tokens: 2, messages: [{ content: 'a', role: 'user' }], model }),
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      method: 'POST',
    });
    expect(status).toBe(HTTP_OK);
    const catalogueAnswer = await Testkit.requestText(`${entry}/catalogue`);
    expect(catalogueAnswer.status).toBe(HTTP_OK);
    expect((await Testkit.requestText(`${operator}/readyz`)).status).toBe(HTTP_OK);
  };
  await vi.waitFor(answerOrdinaryRequest, WAIT_OPTIONS);

  return {
    entry,
    key,
    model,
    operator,
    peerAddress: await findPeerAddress(settings),
    runCrowd: async (name, start) => {
      const crowd = await start();
      const descriptors = (await fs.readdir(`/proc/${pid}/fd`).catch(() => [])).length;
      crowd.close();
      const peakMb = await readPeakMb(pid).catch(() => Number.NaN);
      process.stdout.write(
        `load: ${name}: exit ${exitStatus ?? 'none'}, peak ${peakMb.toFixed(0)} MB, `
        + `${descriptors} descriptors\n`,
      );
      expect(exitStatus).toBeUndefined();
      expect(peakMb).toBeLessThan(MAX_RESIDENT_MB);
      expect(descriptors).toBeLessThan(MAX_DESCRIPTORS);
      await vi.waitFor(answerOrdinaryRequest, WAIT_OPTIONS);
      expect(await readPeakMb(pid)).toBeLessThan(MAX_RESIDENT_MB);
    },
    stop: async () => {
      catalogue.closeAllConnections();
      catalogue.close();
      await system.stop();
    },
  };
}
