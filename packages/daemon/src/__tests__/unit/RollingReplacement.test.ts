import * as Testkit from '@berylyoke/testkit';
import * as path from 'node:path';
import * as Vitest from 'vitest';

const {
  afterAll, beforeAll, describe, expect, test, vi,
} = Vitest;

const WAIT = { interval: 50, timeout: 30_000 };
const LANES = 6;

interface Tally {
  readonly whole: number;
  /** How each stream that is not whole ended: its status, time and text. */
  readonly cut: readonly string[];
  readonly orders: readonly string[];
}

describe('while every daemon is replaced one after another', () => {
  let system: Testkit.DemoSystem;
  let started: readonly Testkit.DemoProcess[] = [];

  const isReady = async (index: number): Promise<boolean> => (
    Testkit.requestText(`${system.operators[index]}/readyz`).then(
      ({ status }) => status === 200,
      () => false,
    )
  );

  beforeAll(async () => {
    system = await Testkit.startDemoSystem({ port: 0 });
  });

  afterAll(async () => {
    await Promise.all(started.map((daemon) => daemon.stop()));
    await system.stop();
  });

  const post = async (
    entry: string,
    route: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<Testkit.TextAnswer> => Testkit.requestText(`${entry}${route}`, {
    body: JSON.stringify(body),
    headers: {
      authorization: `Bearer ${system.description.key}`,
      'content-type': 'application/json',
      ...headers,
    },
    method: 'POST',
  });

  /** Asks the entries in turn; only a refused connection may be tried elsewhere. */
  const askAny = async (
    ask: (entry: string) => Promise<Testkit.TextAnswer>,
    isDone: (answer: Testkit.TextAnswer) => boolean,
    attempt = 0,
  ): Promise<Testkit.TextAnswer> => {
    const { entries } = system.description;
    const entry = entries[attempt % entries.length] as string;
    const answer = await ask(entry).catch((error: NodeJS.ErrnoException) => {
      // Anything but a refused connection is an answer that was cut off.
      if (error.code === 'ECONNREFUSED') return undefined;
      return { headers: {}, status: 0, text: String(error.code) };
    });
    if (answer !== undefined && isDone(answer)) return answer;
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    return askAny(ask, isDone, attempt + 1);
  };

  const replaceDaemon = async (index: number, daemon: Testkit.DemoProcess): Promise<void> => {
    await daemon.stop();
    const directory = path.dirname(system.description.settings);
    const next = Testkit.startDaemonProcess(path.join(directory, `daemon-${index + 1}.toml`));
    started = [...started, next];
    await vi.waitUntil(() => isReady(index), WAIT);
  };

  // Guards against a planned stop that cuts off a stream or lets an order run twice.
  test('no stream is cut off and each order runs once', async () => {
    let isOver = false;
    const runLane = async (lane: number, round: number, tally: Tally): Promise<Tally> => {
      if (isOver) return tally;
      const stream = await askAny((entry) => post(entry, '/v1/chat/completions', {
        max_tokens: 20,
        messages: [{ content: `lane ${lane} round ${round}`, role: 'user' }],
        model: system.description.model,
        stream: true,
      }), ({ status }) => status === 200 || status === 0);
      const isWhole = stream.text.trimEnd().endsWith('data: [DONE]');
      const orderId = `order-${lane}-${round}`;
      const order = await askAny((entry) => (
        post(entry, system.description.orderPath, { orderId }, { 'idempotency-key': orderId })
      ), ({ headers, status }) => status === 200 || headers['x-berylyoke-outcome'] === 'unknown');
      return runLane(lane, round + 1, {
        cut: isWhole
          ? tally.cut
          : [...tally.cut, `${Date.now()} status ${stream.status}: ${stream.text.slice(-200)}`],
        orders: order.status === 200 ? [...tally.orders, orderId] : tally.orders,
        whole: tally.whole + (isWhole ? 1 : 0),
      });
    };
    const lanes = Array.from({ length: LANES }, (_, lane) => (
      runLane(lane, 0, { cut: [], orders: [], whole: 0 })
    ));
    const [first, second] = system.daemons as [Testkit.DemoProcess, Testkit.DemoProcess];
    await replaceDaemon(0, first);
    await replaceDaemon(1, second);
    isOver = true;
    const tallies = await Promise.all(lanes);
    expect(tallies.flatMap(({ cut }) => cut)).toEqual([]);
    expect(tallies.every(({ whole }) => whole > 0)).toBe(true);
    const { text } = await Testkit.requestText(`${system.description.plainService}/executions`);
    const executions = JSON.parse(text) as Readonly<Record<string, number>>;
    expect(Object.values(executions).filter((count) => count !== 1)).toEqual([]);
    expect(tallies.flatMap(({ orders }) => orders).filter((id) => executions[id] !== 1))
      .toEqual([]);
  }, 120_000);
});
