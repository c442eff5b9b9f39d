/**
 * Connection to a backend server. It reads at most a slice at a time. A short read is processed at
 * once, as by any socket. One that fills a slice waits for its turn at a `ReadPacer`, and the
 * socket reads no more until then, so that a connection holds no more than a slice. Bytes can also
 * be held, unparsed, while the caller applies backpressure: parsed into chunks they would take a
 * hundred times their size, and the streams of Node.js only limit the chunks' bytes.
 */
import * as net from 'node:net';
import type * as ReadPacer from './ReadPacer.js';

/**
 * Bytes that are read at once. More than most events and plain answers have; in chunks of one byte
 * they take about a millisecond.
 */
export const SLICE_BYTES = 4_096;

/** Buffer into which all sockets read; its bytes are copied before the next read. */
const readBuffer = Buffer.alloc(SLICE_BYTES);

/** Errors of the connection that follow the bytes which were read before. */
function isReadError(error: NodeJS.ErrnoException | undefined): boolean {
  return error?.syscall === 'read';
}

/** A connection whose bytes are passed on in slices. */
export class PacedSocket extends net.Socket {
  readonly #pacer: ReadPacer.ReadPacer;

  /** Bytes that were read and not passed on. */
  #waiting: Buffer = Buffer.alloc(0);

  #isQueued = false;

  #isHeld = false;

  /** Whether the server ended the connection after the waiting bytes. */
  #hasEnd = false;

  /** Error of the connection after the waiting bytes. */
  #readError: Error | undefined;

  constructor(pacer: ReadPacer.ReadPacer, options: net.SocketConstructorOpts) {
    const reading: net.ConnectOpts = {
      onread: {
        buffer: readBuffer,
        callback: (length) => this.push(Buffer.from(readBuffer.subarray(0, length))),
      },
    };
    super({ ...options, ...reading });
    this.#pacer = pacer;
  }

  /** Whether bytes were read that are not passed on yet. */
  hasWaitingBytes(): boolean {
    return this.#waiting.length > 0;
  }

  /** Passes on no bytes until `releaseBytes` is called, and stops reading. */
  holdBytes(): void {
    this.#isHeld = true;
  }

  releaseBytes(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#queueSlice();
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.#hasEnd = true;
      return this.hasWaitingBytes() ? false : super.push(null);
    }
    const isShort = chunk.length < SLICE_BYTES && !this.hasWaitingBytes();
    if (isShort && !this.#isHeld) return super.push(chunk, encoding);
    this.#waiting = this.hasWaitingBytes() ? Buffer.concat([this.#waiting, chunk]) : chunk;
    this.#queueSlice();
    return false;
  }

  /** Called by the stream when it has passed on what it got and wants more. */
  override _read(size: number): void {
    if (this.hasWaitingBytes()) this.#queueSlice();
    // eslint-disable-next-line no-underscore-dangle
    else if (!this.#hasEnd) super._read(size);
  }

  override destroy(error?: Error): this {
    if (!this.destroyed && this.hasWaitingBytes() && isReadError(error)) {
      this.#readError = error;
      return this;
    }
    this.#waiting = Buffer.alloc(0);
    return super.destroy(error);
  }

  #queueSlice(): void {
    if (this.#isQueued || this.#isHeld) return;
    this.#isQueued = true;
    this.#pacer.queueSlice(() => this.#passSlice());
  }

  #passSlice(): void {
    this.#isQueued = false;
    if (this.destroyed || this.#isHeld) return;
    if (this.hasWaitingBytes()) {
      const slice = this.#waiting.subarray(0, SLICE_BYTES);
      this.#waiting = this.#waiting.subarray(SLICE_BYTES);
      super.push(slice);
      if (this.hasWaitingBytes()) return;
    }
    if (this.#readError !== undefined) super.destroy(this.#readError);
    else if (this.#hasEnd) super.push(null);
    else this.read(0);
  }
}
