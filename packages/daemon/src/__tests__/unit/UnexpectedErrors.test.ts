import * as Testkit from '@berylyoke/testkit';
import { afterEach, expect, test } from 'vitest';
import * as EntryHarness from '../support/EntryHarness.js';

let harness: EntryHarness.EntryHarness | undefined;

afterEach(() => harness?.close());

// Guards against a daemon that ends because a callback of one request throws: each such error was
// an uncaught error of the process.
test('an error in a callback of a request ends only this request', async () => {
  let calls = 0;
  harness = await EntryHarness.startEntryHarness({
    handleEngineRequest: EntryHarness.sendOneToken,
    observeTokens: () => {
      calls += 1;
      if (calls === 1) throw new TypeError('unexpected');
    },
  });
  const { key, url } = harness;
  const requestChat = (): Promise<Testkit.TextAnswer> => Testkit.requestText(
    `${url}/v1/chat/completions`,
    {
      body: EntryHarness.buildChatBody(),
      headers: { authorization: `Bearer ${key}` },
      method: 'POST',
    },
  );
  await expect(requestChat()).rejects.toThrow();
  const answer = await requestChat();
  expect(answer.status).toBe(200);
  expect(answer.text).toContain('[DONE]');
  expect(harness.defects).toEqual(['request']);
  // The first attempt must not keep its place at the engine.
  expect(harness.outcomes.map(({ result }) => result)).toEqual(['cancelled', 'ok']);
});
