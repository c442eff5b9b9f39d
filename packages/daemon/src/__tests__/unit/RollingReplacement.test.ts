import * as Testkit from '@berylyoke/testkit';
import * as path from 'node:path';
import * as Vitest from 'vitest';

const {
  afterAll, beforeAll, describe, expect, test, vi,
} = Vitest;

const WAIT_OPTIONS = { interval: 50, timeout: 30_000 };
const CLIENT_COUNT = 6;

interface ClientResults {
  /** Number of complete streams. */
  readonly whole: number;
  /** Time, status and last text of each stream that did not end with the end marker. */
  readonly brokenStreams: readonly string[];
  readonly completedOrders: readonly string[];
}

describe('while the daemons are replaced one after another', () => {
  let system: Testkit.DemoSystem;
  let replacements: readonly Testkit.DemoProcess[] = [];

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
    await Promise.all(replacements.map((daemon) => daemon.stop()));
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

  /** Sends a request to the entries in turn until it is done. */
  const requestUntilDone = async (
    sendTo: (entry: string) => Promise<Testkit.TextAnswer>,
    isDone: (answer: Testkit.TextAnswer) => boolean,
    attempt = 0,
  ): Promise<Testkit.TextAnswer> => {
    const { entries } = system.description;
    const entry = entries[attempt % entries.length] as string;
    const answer = await sendTo(entry).catch((error: NodeJS.ErrnoException) => {
      // A refused connection may be retried on another daemon; any other error is a truncated
      // response.
      if (error.code === 'ECONNREFUSED') return undefined;
      return { headers: {}, status: 0, text: String(error.code) };
    });
    if (answer !== undefined && isDone(answer)) return answer;
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    return requestUntilDone(sendTo, isDone, attempt + 1);
  };

  const replaceDaemon = async (index: number, daemon: Testkit.DemoProcess): Promise<void> => {
    await daemon.stop();
    const directory = path.dirname(system.description.settings);
    const started = Testkit.startDaemonProcess(path.join(directory, `daemon-${index + 1}.toml`));
    replacements = [...replacements, started];
    await vi.waitUntil(() => isReady(index), WAIT_OPTIONS);
  };

  // Guards against a planned stop that truncates a stream or lets an order run twice.
  test('no stream is truncated and each order runs once', async () => {
    let isOver = false;
    const runClient = async (
      client: number,
      round: number,
      results: ClientResults,
    ): Promise<ClientResults> => {
      if (isOver) return results;
      const stream = await requestUntilDone((entry) => post(entry, '/v1/chat/completions', {
        max_tokens: 20,
        messages: [{ content: `lane ${client} round ${round}`, role: 'user' }],
        model: system.description.model,
        stream: true,
      }), ({ status }) => status === 200 || status === 0);
      const isComplete = stream.text.trimEnd().endsWith('data: [DONE]');
      const orderId = `order-${client}-${round}`;
      const order = await requestUntilDone((entry) => (
        post(entry, system.description.orderPath, { orderId }, { 'idempotency-key': orderId })
      ), ({ headers, status }) => status === 200 || headers['x-berylyoke-outcome'] === 'unknown');
      return runClient(client, round + 1, {
        brokenStreams: isComplete
          ? results.brokenStreams
          : [
            ...results.brokenStreams,
            `${Date.now()} status ${stream.status}: ${stream.text.slice(-200)}`,
          ],
        completedOrders: order.status === 200
          ? [...results.completedOrders, orderId]
          : results.completedOrders,
        whole: results.whole + (isComplete ? 1 : 0),
      });
    };
    const clients = Array.from({ length: CLIENT_COUNT }, (_, client) => (
      runClient(client, 0, { brokenStreams: [], completedOrders: [], whole: 0 })
    ));
    const [first, second] = system.daemons as [Testkit.DemoProcess, Testkit.DemoProcess];
    await replaceDaemon(0, first);
    await replaceDaemon(1, second);
    isOver = true;
    const allResults = await Promise.all(clients);
    expect(allResults.flatMap(({ brokenStreams }) => brokenStreams)).toEqual([]);
    expect(allResults.every(({ whole }) => whole > 0)).toBe(true);
    const { text } = await Testkit.requestText(`${system.description.plainService}/executions`);
    const executions = JSON.parse(text) as Readonly<Record<string, number>>;
    expect(Object.values(executions).filter((count) => count !== 1)).toEqual([]);
    expect(allResults
      .flatMap(({ completedOrders }) => completedOrders)
      .filter((id) => executions[id] !== 1)).toEqual([]);
  }, 120_000);
});
