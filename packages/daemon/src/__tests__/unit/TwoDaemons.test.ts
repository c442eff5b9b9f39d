import * as Testkit from '@berylyoke/testkit';
import * as http from 'node:http';
import * as net from 'node:net';
import * as OpenAi from 'openai';
import * as Vitest from 'vitest';

const {
  afterAll, beforeAll, describe, expect, test, vi,
} = Vitest;

const LONG_ANSWER_TOKENS = 200_000;

/** Longest wait until both faulty engines have been chosen, in milliseconds. */
const FAULT_TIMEOUT_MS = 100_000;

describe('two daemons', () => {
  let system: Testkit.DemoSystem;
  let key: string;
  let entries: readonly string[];

  beforeAll(async () => {
    system = await Testkit.startDemoSystem({
      engine: { answerTokens: LONG_ANSWER_TOKENS, betweenTokensMs: 0, firstTokenMs: 1 },
      lists: Testkit.DEMO_LISTS_WITH_LONG_TARGETS,
      port: 0,
      settings: {
        limits: {
          body_bytes: 100_000, header_bytes: 8_192, request_read_ms: 1_000, silent_stream_ms: 500,
        },
      },
    });
    ({ entries, key } = system.description);
  });
  afterAll(() => system.stop());

  const createClient = (entry = 0, apiKey = key): OpenAi.OpenAI => new OpenAi.OpenAI({
    apiKey, baseURL: `${entries[entry]}/v1`, maxRetries: 0,
  });
  const buildChatBody = (content: string, maxTokens = 40) => ({
    max_tokens: maxTokens,
    messages: [{ content, role: 'user' as const }],
    model: system.description.model,
  });
  const readStream = async (client: OpenAi.OpenAI, content: string): Promise<string> => {
    const stream = await client.chat.completions.create({
      ...buildChatBody(content), stream: true,
    });
    const reader = stream.toReadableStream().getReader();
    const decoder = new TextDecoder();
    const parts: string[] = [];
    const readNext = async (): Promise<void> => {
      const { done, value } = await reader.read();
      if (done) return;
      parts.push(decoder.decode(value as Uint8Array));
      await readNext();
    };
    await readNext();
    return parts.join('').split('\n').filter((line) => line !== '')
      .map((line) => JSON.parse(line).choices[0]?.delta?.content ?? '')
      .join('');
  };
  const buildExpectedText = (content: string, maxTokens = 40): string => {
    const text = Testkit.buildEngineText(buildChatBody(content, maxTokens), LONG_ANSWER_TOKENS);
    return Testkit.joinTokens(text, 0);
  };
  const postBody = (
    path: string,
    body: string,
    headers: http.OutgoingHttpHeaders = {},
    entry = 0,
  ): Promise<Testkit.TextAnswer> => Testkit.requestText(`${entries[entry]}${path}`, {
    body,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    method: 'POST',
  });
  const issueKey = async (): Promise<{ readonly key: string; readonly keyId: string }> => {
    const { settings } = system.description;
    const issued = await Testkit.runCliProcess([
      '--settings', settings, '--json', 'key', 'issue', '--account', 'fan-chain',
    ]);
    return JSON.parse(issued.out);
  };
  const withdrawKey = (keyId: string): Promise<Testkit.CommandResult> => Testkit.runCliProcess([
    '--settings', system.description.settings, 'key', 'withdraw', keyId,
  ]);
  const sumCounts = (name: keyof Testkit.EngineCounts): number => (
    system.engines.reduce((sum, engine) => sum + engine.getCounts()[name], 0)
  );

  test.each([0, 1])('daemon %i serves OpenAI clients with and without streaming', async (entry) => {
    const client = createClient(entry);
    const plain = await client.chat.completions.create(buildChatBody('hello'));
    expect(plain.choices[0]?.message.content).toBe(buildExpectedText('hello'));
    expect(plain.usage?.completion_tokens).toBe(40);
    expect(await readStream(client, 'hello')).toBe(buildExpectedText('hello'));
    const models = await client.models.list();
    expect(models.data.map(({ id }) => id)).toEqual([system.description.model]);
  });

  test('forwards the usage chunk only to a caller that asked for it', async () => {
    const body = { ...buildChatBody('usage', 2), stream: true };
    const answerWithoutUsage = await postBody('/v1/chat/completions', JSON.stringify(body));
    const answerWithUsage = await postBody('/v1/chat/completions', JSON.stringify({
      ...body, stream_options: { include_usage: true },
    }));
    expect(answerWithoutUsage.text).not.toContain('completion_tokens');
    expect(answerWithUsage.text).toContain('"completion_tokens":2');
  });

  test('refuses a wrong key, an unknown model, invalid JSON and excessive sizes', async () => {
    const wrongKeyClient = createClient(0, 'byk_000000000000_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa');
    await expect(wrongKeyClient.models.list()).rejects.toMatchObject({ status: 401 });
    const unknownModelBody = { ...buildChatBody('x'), model: 'no-such-model' };
    await expect(createClient().chat.completions.create(unknownModelBody))
      .rejects.toMatchObject({ code: 'model_not_found', status: 404 });
    expect((await postBody('/v1/chat/completions', '{"model":')).status).toBe(400);
    expect((await postBody('/v1/chat/completions', 'x'.repeat(200_000))).status).toBe(413);
    expect((await postBody('/v1/chat/completions', '{}', { 'x-long': 'x'.repeat(9_000) })).status)
      .toBe(431);
    expect((await postBody('/nowhere', '{}')).status).toBe(404);
  });

  test.each([
    ['header', () => 'POST /stock HTTP/1.1\r\nhost:'],
    // Without a key, the request is refused before its body is read.
    ['body', () => (
      `POST /stock HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\n`
      + 'content-length: 9\r\n\r\n{'
    )],
  ])('responds with 408 to a caller that does not finish its %s', async (_, buildText) => {
    const socket = net.connect(Number(new URL(entries[0] as string).port), '127.0.0.1');
    const answer = await new Promise<string>((resolve) => {
      socket.setEncoding('utf8').once('data', resolve);
      socket.write(buildText());
    });
    socket.destroy();
    expect(answer).toContain('HTTP/1.1 408');
    expect(answer).toContain('"code":"request_timeout"');
  });

  test('completes each of sixty streams or refuses it with Retry-After', async () => {
    const answers = await Promise.all(Array.from({ length: 60 }, async (_, index) => {
      const content = `stream ${index}`;
      return readStream(createClient(index % 2), content).then(
        (text) => text === buildExpectedText(content),
        (error: unknown) => error instanceof OpenAi.APIError
          && [429, 503].includes(error.status as number)
          && error.headers?.get('retry-after') !== null,
      );
    }));
    expect(answers.filter((isCorrect) => !isCorrect)).toEqual([]);
  });

  /**
   * Sends batches until both faulty engines have failed, that is, until two attempts more than
   * requests have started. Several batches are needed because an engine may not be chosen for some
   * seconds. Returns the number of requests.
   */
  const sendUntilBothFailed = async (
    batch: number,
    send: (name: string) => Promise<void>,
  ): Promise<number> => {
    const before = sumCounts('started');
    const deadlineMs = performance.now() + FAULT_TIMEOUT_MS;
    const sendBatch = async (sent: number): Promise<number> => {
      const names = Array.from({ length: batch }, (_, index) => `request ${sent + index}`);
      await Promise.all(names.map(send));
      const total = sent + batch;
      const isOver = sumCounts('started') - before >= total + 2;
      return isOver || performance.now() > deadlineMs ? total : sendBatch(total);
    };
    return sendBatch(0);
  };

  test.each(['crash', 'silence', 'crossed'] as const)(
    'delivers a stream completely and in order after the fault %s in the middle',
    async (kind) => {
      const before = sumCounts('started');
      system.engines.slice(0, 2).forEach(({ faults }) => faults.set([{
        afterTokens: 7, kind, operation: 'chat',
      }]));
      const sent = await sendUntilBothFailed(6, async (name) => {
        const content = `${kind} ${name}`;
        expect(await readStream(createClient(), content)).toBe(buildExpectedText(content));
      });
      expect(sumCounts('started') - before).toBe(sent + 2);
    },
    2 * FAULT_TIMEOUT_MS,
  );

  test('completes a request without streaming after two engines broke the connection', async () => {
    const before = sumCounts('started');
    system.engines.slice(0, 2).forEach(({ faults }) => faults.set([{
      kind: 'crash', operation: 'chat',
    }]));
    const sent = await sendUntilBothFailed(3, async (name) => {
      const content = `plain ${name}`;
      const { choices } = await createClient().chat.completions.create(buildChatBody(content));
      expect(choices[0]?.message.content).toBe(buildExpectedText(content));
    });
    expect(sumCounts('started') - before).toBe(sent + 2);
  }, 2 * FAULT_TIMEOUT_MS);

  test('sends Retry-After if every engine refuses', async () => {
    system.engines.forEach(({ faults }) => faults.set([{ kind: 'refusal', operation: 'chat' }]));
    const refused = await postBody('/v1/chat/completions', JSON.stringify(buildChatBody('busy')));
    expect(refused.status).toBe(503);
    expect(refused.headers['retry-after']).toBeDefined();
    system.engines.forEach(({ faults }) => faults.set([]));
  });

  test('lets the command line explain a request, whichever daemon served it', async () => {
    const answer = await postBody(
      '/v1/chat/completions',
      JSON.stringify(buildChatBody('explain')),
      {},
      1,
    );
    const explained = await Testkit.runCliProcess([
      '--settings',
      system.description.settings,
      '--json',
      'explain',
      String(answer.headers['x-request-id']),
    ]);
    expect(explained.status).toBe(0);
    const { explanation, operator } = JSON.parse(explained.out);
    expect(operator).toBe(system.operators[1]);
    expect(explanation.steps.map(({ filter }: { filter: string }) => filter))
      .toEqual(expect.arrayContaining(['classify', 'choose', 'forward', 'account']));
  });

  test('cancels the request on the engine when the caller disconnects', async () => {
    const before = sumCounts('cancelled');
    const body = { ...buildChatBody('leaves', LONG_ANSWER_TOKENS), stream: true };
    const request = http.request(`${entries[0]}/v1/chat/completions`, {
      agent: false, headers: { authorization: `Bearer ${key}` }, method: 'POST',
    });
    request.on('error', () => undefined);
    request.on('response', (response) => response.once('data', () => request.destroy()));
    request.end(JSON.stringify(body));
    await vi.waitUntil(() => sumCounts('cancelled') === before + 1, { timeout: 30_000 });
  });

  test('stops reading from the engine while the caller does not read', async () => {
    const before = sumCounts('tokens');
    const body = JSON.stringify({ ...buildChatBody('slow', LONG_ANSWER_TOKENS), stream: true });
    const socket = net.connect(Number(new URL(entries[0] as string).port), '127.0.0.1');
    socket.pause();
    socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
      + `authorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    let lastTokens = -1;
    await vi.waitUntil(() => {
      const now = sumCounts('tokens') - before;
      const hasStopped = now > 0 && now === lastTokens;
      lastTokens = now;
      return hasStopped;
    }, { interval: 700, timeout: 50_000 });
    expect(lastTokens).toBeLessThan(LONG_ANSWER_TOKENS);
    let tokens = 0;
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => {
      tokens += text.split('"content":').length - 1;
    });
    socket.resume();
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(tokens).toBeGreaterThan(LONG_ANSWER_TOKENS * 0.99);
  });

  test('executes an order once and reports "unknown" when its response is lost', async () => {
    system.plainService.faults.set([{ kind: 'lost-answer', operation: 'call' }]);
    const unansweredOrder = await postBody(system.description.orderPath, '{"orderId":"lost"}');
    expect(unansweredOrder.status).toBe(502);
    expect(unansweredOrder.headers['x-berylyoke-outcome']).toBe('unknown');
    const answeredOrder = await postBody(system.description.orderPath, '{"orderId":"ok"}', {}, 1);
    expect(answeredOrder.status).toBe(200);
    expect(system.plainService.countExecutions('lost')).toBe(1);
    expect(system.plainService.countExecutions('ok')).toBe(1);
  });

  test('sends the key of a caller to no backend server', async () => {
    await postBody(`/stock?api_key=${key}&part=7`, '{}', {
      'accept-language': key, cookie: key, 'x-api-key': key,
    });
    await postBody(`/stock?part=${key}`, '{}');
    const seen = JSON.stringify([
      system.engines.map((engine) => engine.listReceivedRequests()),
      system.plainService.listReceivedRequests(),
    ]);
    expect(seen).toContain('/stock?part=7');
    expect(seen).not.toContain(key.split('_').slice(2).join('_'));
    expect(seen).not.toContain('api_key');
  });

  test('refuses a withdrawn key on open connections of both daemons', async () => {
    const issuedKey = await issueKey();
    const agents = entries.map(() => new http.Agent({ keepAlive: true, maxSockets: 1 }));
    const requestModels = async (): Promise<readonly number[]> => (await Promise.all(
      entries.map((entry, index) => Testkit.requestText(`${entry}/v1/models`, {
        agent: agents[index] as http.Agent, headers: { authorization: `Bearer ${issuedKey.key}` },
      })),
    )).map(({ status }) => status);
    await vi.waitUntil(async () => (await requestModels()).every((status) => status === 200), {
      timeout: 30_000,
    });
    await withdrawKey(issuedKey.keyId);
    await vi.waitUntil(async () => (await requestModels()).every((status) => status === 401), {
      timeout: 30_000,
    });
    agents.forEach((agent) => agent.destroy());
  });

  test('ends a running stream when its key is withdrawn', async () => {
    const { key: newKey, keyId } = await issueKey();
    const before = sumCounts('started');
    system.engines.forEach(({ faults }) => faults.set([{
      delayMs: 200, kind: 'slow', operation: 'chat',
    }]));
    await vi.waitUntil(() => createClient(0, newKey).models.list().then(() => true, () => false), {
      timeout: 30_000,
    });
    const ended = expect(readStream(createClient(0, newKey), 'withdrawn')).rejects.toThrow();
    await vi.waitUntil(() => sumCounts('started') > before);
    await withdrawKey(keyId);
    await ended;
  });

  test('reports "not run" when nothing could be sent', async () => {
    await system.plainService.close();
    const refused = await postBody(system.description.orderPath, '{"orderId":"none"}');
    expect(refused.status).toBe(503);
    expect(refused.headers['x-berylyoke-outcome']).toBe('not-run');
    expect(refused.headers['retry-after']).toBeDefined();
  });

  test('completes a running stream before a daemon exits after SIGTERM', async () => {
    const before = sumCounts('started');
    system.engines.forEach(({ faults }) => faults.set([{
      delayMs: 20, kind: 'slow', operation: 'chat',
    }]));
    const stream = readStream(createClient(1), 'drain');
    await vi.waitUntil(() => sumCounts('started') > before);
    system.daemons[1]?.kill('SIGTERM');
    expect(await stream).toBe(buildExpectedText('drain'));
    expect(await system.daemons[1]?.exited).toBe(0);
  });
});
