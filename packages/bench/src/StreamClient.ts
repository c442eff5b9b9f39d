/** Client of the path bench: streams one answer and notes when each token arrived. */
import * as http from 'node:http';

/** Where and as whom to ask. */
export interface StreamTarget {
  readonly url: string;
  readonly agent: http.Agent;
  readonly headers: Readonly<Record<string, string>>;
}

/** Times of one answer in milliseconds. */
export interface StreamTimes {
  readonly firstTokenMs: number;
  /** Gaps between arrivals, without those of tokens that arrived together. */
  readonly gapsMs: readonly number[];
  readonly tokens: number;
}

const TOKEN_MARK = Buffer.from('"content":"');

function countTokens(data: Buffer): number {
  let count = 0;
  let at = data.indexOf(TOKEN_MARK);
  while (at !== -1) {
    count += 1;
    at = data.indexOf(TOKEN_MARK, at + TOKEN_MARK.length);
  }
  return count;
}

/** Streams one answer; rejects when it is not whole. */
export function streamAnswer(
  { agent, headers, url }: StreamTarget,
  body: string,
): Promise<StreamTimes> {
  return new Promise((resolve, reject) => {
    const startedMs = performance.now();
    const gapsMs: number[] = [];
    let firstTokenMs = 0;
    let lastMs = 0;
    let tokens = 0;
    const request = http.request(`${url}/v1/chat/completions`, {
      agent,
      headers: {
        'content-length': Buffer.byteLength(body), 'content-type': 'application/json', ...headers,
      },
      method: 'POST',
    });
    request.on('error', reject);
    request.on('response', (response) => {
      response.on('data', (data: Buffer) => {
        const found = countTokens(data);
        if (found === 0) return;
        const nowMs = performance.now();
        if (tokens === 0) firstTokenMs = nowMs - startedMs;
        else gapsMs.push(nowMs - lastMs);
        lastMs = nowMs;
        tokens += found;
      });
      response.on('error', reject);
      response.on('end', () => resolve({ firstTokenMs, gapsMs, tokens }));
    });
    request.end(body);
  });
}
