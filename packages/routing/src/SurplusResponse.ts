/**
 * Finds a second response in a body whose end is that of its connection. Nothing else shows where
 * the first one ends, so the second one would be passed on as a part of it.
 */

/** A status line, wherever the body before it ends, and the header lines that follow it. */
const RESPONSE_HEAD = /HTTP\/1\.[01] \d{3}[^\r\n]*\r?\n((?:[\w!#$%&'*+.^`|~-]+:[^\r\n]*\r?\n)*)/g;

/**
 * Checks whether a body contains the head of a response. A body may quote one, but not with the
 * header of a request id, which only servers of the system write.
 *
 * @param requestIdHeader name of that header in lower case
 */
export function hasSurplusResponse(body: Buffer, requestIdHeader: string): boolean {
  return [...body.toString('latin1').matchAll(RESPONSE_HEAD)].some(([, headers = '']) => (
    `\n${headers.toLowerCase()}`.includes(`\n${requestIdHeader}:`)
  ));
}
