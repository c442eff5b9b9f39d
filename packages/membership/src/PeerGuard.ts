/**
 * Limits what the connections of the membership listener hold together, like the guard of the HTTP
 * listeners. HTTP/2 limits the streams of a connection and the bytes that wait to be read; the
 * library above it keeps the bytes of a message until its last one, and those are counted here.
 */
import * as Core from '@berylyoke/core';
import type * as http2 from 'node:http2';

/** Largest message of a peer, in bytes; configuration entries and heartbeats stay well below it. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Bytes of unfinished messages of all connections; leaves room for two of the largest size. */
const MAX_HELD_BYTES = 2 * MAX_MESSAGE_BYTES;

/** Connections of the listener. A relay has one for each daemon of its data centre and region. */
const MAX_CONNECTIONS = 512;

/** Memory of a piece of a message beside its bytes. */
const PIECE_COST_BYTES = 128;

/** Bytes before each message: flags and length. */
const ENVELOPE_BYTES = 5;
const LENGTH_OFFSET = 1;

const CHECK_INTERVAL_MS = 250;

/** Counts the bytes of an unfinished message. */
export interface MessageCounter {
  /** Adds received bytes and returns what is held of a message that is not complete, with costs. */
  readonly add: (bytes: Buffer) => number;
}

/** Creates a counter for one stream of messages. */
export function createMessageCounter(): MessageCounter {
  const envelope = Buffer.alloc(ENVELOPE_BYTES);
  let envelopeBytes = 0;
  let missing = 0;
  let held = 0;
  const addPart = (bytes: Buffer): number => {
    if (envelopeBytes < ENVELOPE_BYTES) {
      const taken = bytes.copy(envelope, envelopeBytes, 0, ENVELOPE_BYTES - envelopeBytes);
      envelopeBytes += taken;
      held += taken;
      if (envelopeBytes === ENVELOPE_BYTES) missing = envelope.readUInt32BE(LENGTH_OFFSET);
      return taken;
    }
    const taken = Math.min(missing, bytes.length);
    missing -= taken;
    held += taken;
    return taken;
  };
  return {
    add: (bytes) => {
      let offset = 0;
      while (offset < bytes.length) {
        offset += addPart(bytes.subarray(offset));
        if (envelopeBytes === ENVELOPE_BYTES && missing === 0) {
          envelopeBytes = 0;
          held = 0;
        }
      }
      if (held > 0) held += PIECE_COST_BYTES;
      return held;
    },
  };
}

interface Peer {
  readonly heldByStream: Map<http2.ServerHttp2Stream, number>;
}

/** Limits the connections of a server and the bytes of their unfinished messages. */
export function guardPeerServer(server: http2.Http2Server, clock: Core.Clock): void {
  const ledger = Core.createConnectionLedger<http2.ServerHttp2Session>({
    maxBytes: MAX_HELD_BYTES, maxConnections: MAX_CONNECTIONS,
  });
  const endSession = (session: http2.ServerHttp2Session): void => {
    ledger.close(session);
    session.destroy();
  };
  const endExcess = (): void => ledger.listExcess(clock.readMonotonic()).forEach(endSession);

  const update = (session: http2.ServerHttp2Session, { heldByStream }: Peer): void => {
    const held = [...heldByStream.values()].reduce((sum, bytes) => sum + bytes, 0);
    ledger.setHeld(session, 'body', held);
    ledger.setState(session, {
      hasRequest: heldByStream.size > 0, isClientDue: held > 0 || heldByStream.size === 0,
    }, clock.readMonotonic());
  };
  const watchStream = (
    session: http2.ServerHttp2Session,
    peer: Peer,
    stream: http2.ServerHttp2Stream,
  ): void => {
    const counter = createMessageCounter();
    const push = stream.push.bind(stream);
    peer.heldByStream.set(stream, 0);
    // eslint-disable-next-line no-param-reassign
    stream.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
      if (chunk !== null) {
        peer.heldByStream.set(stream, counter.add(chunk));
        ledger.recordProgress(session, clock.readMonotonic());
        update(session, peer);
        endExcess();
        if (session.destroyed) return false;
      }
      return push(chunk, encoding);
    };
    stream.once('close', () => {
      peer.heldByStream.delete(stream);
      update(session, peer);
    });
    update(session, peer);
  };
  server.on('session', (session) => {
    const peer: Peer = { heldByStream: new Map() };
    ledger.open(session, clock.readMonotonic());
    session.on('stream', (stream) => watchStream(session, peer, stream));
    session.once('close', () => ledger.close(session));
    endExcess();
  });
  const timer = setInterval(endExcess, CHECK_INTERVAL_MS);
  timer.unref();
  server.once('close', () => clearInterval(timer));
}
