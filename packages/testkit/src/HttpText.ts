/** HTTP requests of tests and the demo that read a whole answer as text. */
import * as http from 'node:http';

/** One request. */
export interface TextRequest {
  readonly agent?: http.Agent;
  readonly body?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly method?: string;
  readonly onChunk?: (chunk: string) => void;
}

/** A whole answer. */
export interface TextAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Sends a request on a connection of its own unless an agent is given.
 *
 * @returns the answer; rejects when the connection breaks before the answer is whole
 */
export function requestText(
  url: string,
  {
    agent, body, headers = {}, method = 'GET', onChunk,
  }: TextRequest = {},
): Promise<TextAnswer> {
  return new Promise((resolve, reject) => {
    const request = http.request(url, {
      agent: agent ?? false,
      headers: {
        ...body === undefined ? {} : { 'content-length': Buffer.byteLength(body) },
        ...headers,
      },
      method,
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: string[] = [];
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        chunks.push(chunk);
        onChunk?.(chunk);
      });
      response.on('error', reject);
      response.on('end', () => resolve({
        headers: response.headers, status: response.statusCode ?? 0, text: chunks.join(''),
      }));
    });
    request.end(body);
  });
}
