/** Slope of a daemon's memory against its open requests, in a process of its own. */
import * as Testkit from '@berylyoke/testkit';
import * as http from 'node:http';
import type * as CapacityCase from './CapacityCase.js';

/** Time in which all streams have started and the memory has settled, in milliseconds. */
const SETTLE_MS = 4_000;
/** Time between tokens: streams stay open and mostly idle, in milliseconds. */
const BETWEEN_TOKENS_MS = 500;
const ANSWER_TOKENS = 60;
const LISTS_LIMIT = 100_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function readResidentBytes(operator: string): Promise<number> {
  const { text } = await Testkit.requestText(`${operator}/metrics`);
  return Number(/^process_resident_memory_bytes (\S+)/m.exec(text)?.[1]);
}

function openStream(entry: string, key: string, model: string): http.ClientRequest {
  const request = http.request(`${entry}/v1/chat/completions`, {
    agent: false,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    method: 'POST',
  }, (response) => response.on('error', () => undefined).resume());
  request.on('error', () => undefined);
  request.end(JSON.stringify({
    max_tokens: ANSWER_TOKENS,
    messages: [{ content: 'A question of usual length. '.repeat(40), role: 'user' }],
    model,
    stream: true,
  }));
  return request;
}

async function measureOpenRequests(count: number): Promise<number> {
  const system = await Testkit.startDemoSystem({
    engine: { betweenTokensMs: BETWEEN_TOKENS_MS, queueLimit: LISTS_LIMIT, slots: LISTS_LIMIT },
    port: 0,
    settings: { log_level: 'error' },
  });
  const {
    entries: [entry = ''], key, model, operator,
  } = system.description;
  try {
    const before = await readResidentBytes(operator);
    const requests = Array.from({ length: count }, () => openStream(entry, key, model));
    await wait(SETTLE_MS);
    const after = await readResidentBytes(operator);
    requests.forEach((request) => request.destroy());
    return after - before;
  } finally {
    await system.stop();
  }
}

/** Cases of the request path that need processes. */
export const OPEN_REQUEST_CASES: readonly CapacityCase.CapacityCase[] = [{
  costUnit: 'bytes of resident memory for all open streams of one daemon',
  measure: measureOpenRequests,
  name: 'open-request-memory',
  sizeUnit: 'streams',
  sizes: [250, 500, 1_000, 2_000],
}];
