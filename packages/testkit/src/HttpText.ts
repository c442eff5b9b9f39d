/** HTTP client of tests and the demo that reads a whole response as text. */
import * as http from 'node:http';

/** Options of a request. */
export interface TextRequest {
  readonly agent?: http.Agent;
  readonly body?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly method?: string;
  readonly onChunk?: (chunk: string) => void;
}

/** A complete response. */
export interface TextAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Sends a request. It uses a separate connection unless an agent is given.
 *
 * @returns the response; rejects when the connection breaks before the response is complete
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
