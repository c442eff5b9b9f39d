import * as Vitest from 'vitest';
import * as FakeEngine from '../../FakeEngine.js';
import * as FakePlainService from '../../FakePlainService.js';
import * as FakeVmList from '../../FakeVmList.js';
import * as HttpText from '../../HttpText.js';

const {
  afterEach, beforeEach, describe, expect, test,
} = Vitest;

function readTokens(text: string): readonly string[] {
  return text.split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)))
    .map(({ choices }) => choices[0]?.delta?.content)
    .filter((content) => content !== undefined);
}

describe('the fake engine', () => {
  let engine: FakeEngine.FakeEngine;

  const postChat = (body: unknown, headers: Record<string, string> = {}) => (
    HttpText.requestText(`${engine.url}/v1/chat/completions`, {
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json', 'x-request-id': 'r1', ...headers },
      method: 'POST',
    })
  );
  const body = {
    max_tokens: 6,
    messages: [{ content: 'hello', role: 'user' }],
    model: 'small-chat',
    stream: true,
    stream_options: { include_usage: true },
  };

  beforeEach(async () => {
    engine = await FakeEngine.startFakeEngine({ betweenTokensMs: 0, firstTokenMs: 0, slots: 1 });
  });
  afterEach(() => engine.close());

  test('continues the same text when a stream is resumed at a token', async () => {
    const fullTokens = readTokens((await postChat(body)).text);
    const resumedTokens = readTokens((await postChat(body, { 'x-resume-from': '4' })).text);
    expect(fullTokens).toHaveLength(6);
    expect(resumedTokens).toEqual(fullTokens.slice(4));
  });

  test('closes the connection after `afterTokens` tokens of a crash fault', async () => {
    engine.faults.set([{ afterTokens: 3, kind: 'crash', operation: 'chat' }]);
    await expect(postChat(body)).rejects.toThrow();
    expect(engine.getCounts()).toMatchObject({ cancelled: 1, finished: 0, tokens: 3 });
  });

  test('frees the slot of a cancelled request for the next one', async () => {
    engine.faults.set([{ kind: 'silence', operation: 'chat' }]);
    const silentChat = expect(postChat(body, { 'x-request-id': 'stuck' })).rejects.toThrow();
    await Vitest.vi.waitUntil(() => engine.getCounts().started === 1);
    const cancel = await HttpText.requestText(
      `${engine.url}/v1/requests/stuck`,
      { method: 'DELETE' },
    );
    expect(cancel.status).toBe(200);
    await silentChat;
    expect(readTokens((await postChat(body)).text)).toHaveLength(6);
  });

  test('refuses an order with a lower fencing token than an earlier one', async () => {
    const sendOrder = async (fence: number) => (await HttpText.requestText(`${engine.url}/orders`, {
      body: JSON.stringify({ action: 'load-model', fence, orderId: `o${fence}` }),
      method: 'POST',
    })).status;
    expect(await sendOrder(5)).toBe(200);
    expect(await sendOrder(4)).toBe(409);
  });
});

describe('the fake plain service', () => {
  test('counts an execution whose answer is lost', async () => {
    const service = await FakePlainService.startFakePlainService();
    service.faults.set([{ kind: 'lost-answer', operation: 'call' }]);
    const call = HttpText.requestText(`${service.url}/orders`, {
      body: JSON.stringify({ orderId: 'a' }), method: 'POST',
    });
    await expect(call).rejects.toThrow();
    expect(service.countExecutions('a')).toBe(1);
    await service.close();
  });
});

describe('the fake VM list', () => {
  test('does not list an entry before `lagMs` has passed', async () => {
    const list = await FakeVmList.startFakeVmList({ lagMs: 100_000 });
    list.setEntries([{
      address: '127.0.0.1:1',
      dataCentre: 'a',
      id: 'v1',
      kind: 'dear',
      models: [],
      priceCents: 1,
      role: 'engine',
      service: '',
      state: 'live',
    }]);
    expect((await HttpText.requestText(`${list.url}/vms`)).text).toBe('[]');
    await list.close();
  });
});
