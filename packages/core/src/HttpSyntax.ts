/**
 * Checks whether Node.js can write what it has read. Its HTTP parser accepts bytes that its writer
 * rejects with an exception, so what is passed on is checked where it comes in.
 */

/** Characters of a request target: no space and no control character. */
const TARGET = /^[!-\u00ff]+$/;

/** Characters of a token (RFC 9110, section 5.6.2), of which a header name consists. */
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;

/** Characters of a header value or a reason phrase. */
const TEXT = /^[\t -~\u0080-\u00ff]*$/;

/** Checks whether a path with its query can be sent in a request. */
export function isWritableTarget(target: string): boolean {
  return TARGET.test(target);
}

/** Checks whether a text can be sent as the value of a header or as a reason phrase. */
export function isWritableText(text: string): boolean {
  return TEXT.test(text);
}

/** Checks whether headers, as alternating names and values, can be sent. */
export function areWritableHeaders(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((text, index) => (index % 2 === 0 ? TOKEN : TEXT).test(text));
}
