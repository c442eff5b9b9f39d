/**
 * Limits what a server may send on one connection without bringing its caller nearer to an answer.
 * Whatever such bytes are, they cost processor time by their number and by the number of pieces
 * (chunks, comments, repeated events) into which they are divided. Both are charged to an allowance
 * that progress restores, so no kind of bytes has to be known in advance.
 */

/** Charge for a piece, in bytes: processing it takes as long as that of so many bytes. */
const PIECE_COST_BYTES = 64;

/** Allowance beside that for events; covers the largest heads before and after a body. */
const BASE_ALLOWANCE_BYTES = 262_144;

/** An event may be divided into chunks whose framing takes as much as their content. */
const EVENT_ALLOWANCE_FACTOR = 2;

/** Bytes that a plain body earns with each of its bytes: chunks of 70 bytes pay for themselves. */
const EARNED_BYTES = 2;

/** Allowance of one exchange. */
export interface SendAllowance {
  /** Charges bytes as they came from the connection. */
  readonly spendBytes: (bytes: number) => void;
  readonly spendPieces: (pieces: number) => void;
  /** Adds what the bytes of a plain body earn, up to the full allowance. */
  readonly earn: (bytes: number) => void;
  /** Restores the full allowance after an event that the caller gets. */
  readonly reset: () => void;
  /** Lowers what is left to a limit in bytes, for an answer that nobody needs any more. */
  readonly limit: (bytes: number) => void;
  readonly isExhausted: () => boolean;
}

/** Creates the allowance for answers with events of at most `maxEventBytes`. */
export function createSendAllowance(maxEventBytes: number): SendAllowance {
  const full = BASE_ALLOWANCE_BYTES + maxEventBytes * EVENT_ALLOWANCE_FACTOR;
  let left = full;
  return {
    earn: (bytes) => {
      left = Math.min(full, left + bytes * EARNED_BYTES);
    },
    isExhausted: () => left < 0,
    limit: (bytes) => {
      left = Math.min(left, bytes);
    },
    reset: () => {
      left = full;
    },
    spendBytes: (bytes) => {
      left -= bytes;
    },
    spendPieces: (pieces) => {
      left -= pieces * PIECE_COST_BYTES;
    },
  };
}
