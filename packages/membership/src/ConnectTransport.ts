/** Implements the streams between daemons with connect-es over HTTP/2 without TLS. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import type * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import * as Peer from './gen/berylyoke/peer/v1/peer_pb.js';
import * as PeerGuard from './PeerGuard.js';
import type * as PeerStream from './PeerStream.js';

/**
 * Maximum number of messages queued for a peer that does not read its stream. Beyond it the oldest
 * message is dropped, because a newer heartbeat supersedes it. Configuration entries lost with a
 * dropped message are sent again after the next heartbeat.
 */
const SEND_QUEUE_MAX_MESSAGES = 16;

/** Streams of one connection; each stream of a daemon has its own connection. */
const MAX_STREAMS = 8;

interface SendQueue extends AsyncIterable<Peer.PeerMessage> {
  readonly push: (message: Peer.PeerMessage) => void;
  readonly end: () => void;
}

/** Creates a bounded queue of outgoing messages that drops the oldest one when it is full. */
function createSendQueue(): SendQueue {
  const queue: Peer.PeerMessage[] = [];
  let ended = false;
  let resolveWaiter: (() => void) | undefined;
  const next = async (): Promise<IteratorResult<Peer.PeerMessage>> => {
    const message = queue.shift();
    if (message !== undefined) return { done: false, value: message };
    if (ended) return { done: true, value: undefined };
    await new Promise<void>((resolve) => {
      resolveWaiter = resolve;
    });
    return next();
  };
  const wakeReader = (): void => {
    resolveWaiter?.();
    resolveWaiter = undefined;
  };
  return {
    [Symbol.asyncIterator]: () => ({
      next,
      return: async () => {
        ended = true;
        return { done: true, value: undefined };
      },
      // connect aborts an iterable with `throw` and rejects iterators that lack this method.
      throw: (error: unknown) => {
        ended = true;
        return Promise.reject(error);
      },
    }),
    end: () => {
      ended = true;
      wakeReader();
    },
    push: (message) => {
      if (ended) return;
      queue.push(message);
      if (queue.length > SEND_QUEUE_MAX_MESSAGES) queue.shift();
      wakeReader();
    },
  };
}

function encodeMessage(message: PeerStream.PeerMessage): Peer.PeerMessage {
  return protobuf.create(Peer.PeerMessageSchema, {
    acknowledged: message.acknowledged,
    config: message.config,
    configOffset: message.configOffset,
    contact: message.contact,
    dataCentres: message.dataCentres.map((summary) => ({
      ...summary, addresses: [...summary.addresses], dataCentres: [...summary.dataCentres],
    })),
    members: [...message.members],
    parts: message.parts,
    regions: message.regions.map((summary) => ({
      ...summary, addresses: [...summary.addresses], dataCentres: [...summary.dataCentres],
    })),
    sender: message.sender,
    values: message.values,
  });
}

function decodeMessage(message: Peer.PeerMessage): PeerStream.PeerMessage | undefined {
  const { sender } = message;
  return sender === undefined ? undefined : {
    acknowledged: message.acknowledged,
    config: message.config,
    configOffset: message.configOffset,
    contact: message.contact,
    dataCentres: message.dataCentres,
    members: message.members,
    parts: message.parts,
    regions: message.regions,
    sender,
    values: message.values,
  };
}

/**
 * Passes each message to the handlers and calls `onEnd` when the stream ends or fails. Each read
 * starts the next one without awaiting it: awaiting would build a chain of promises that grows as
 * long as the stream is open.
 */
function readMessages(
  iterator: AsyncIterator<Peer.PeerMessage>,
  handlers: PeerStream.PeerStreamHandlers,
  onEnd: () => void,
): void {
  iterator.next().then((result) => {
    if (result.done === true) {
      onEnd();
      return;
    }
    const message = decodeMessage(result.value);
    if (message !== undefined) handlers.onMessage(message);
    readMessages(iterator, handlers, onEnd);
  }).catch(onEnd);
}

type TransportOptions = Parameters<typeof connectNode.createConnectTransport>[0];
type SessionManager = NonNullable<
  Extract<TransportOptions, { readonly httpVersion: '2' }>['sessionManager']
>;

interface PeerSession extends SessionManager {
  readonly destroy: () => void;
}

/**
 * Opens one HTTP/2 connection. It replaces the session manager of connect-node, which removes its
 * error listener when a session closes. When a server of another protocol listened at the address,
 * the protocol error that followed was then unhandled and ended the process. This error listener is
 * never removed.
 */
function openSession(authority: string): PeerSession {
  const session = http2.connect(authority);
  session.on('error', () => session.destroy());
  return {
    authority,
    destroy: () => session.destroy(),
    notifyResponseByteRead: () => undefined,
    request: async (method, path, headers, options) => (
      session.request({ ...headers, ':method': method, ':path': path }, options)
    ),
  };
}

/** Creates the transport that opens streams to other daemons. */
export function createConnectTransport(): PeerStream.PeerTransport {
  return {
    open: (address, handlers) => {
      const baseUrl = `http://${address}`;
      // Each stream has its own connection, so that closing it leaves no idle connection behind.
      const sessionManager = openSession(baseUrl);
      const abortController = new AbortController();
      const outgoing = createSendQueue();
      const client = connect.createClient(Peer.PeerService, connectNode.createConnectTransport({
        baseUrl, httpVersion: '2', sessionManager,
      }));
      let closed = false;
      const close = (): void => {
        if (closed) return;
        closed = true;
        outgoing.end();
        abortController.abort();
        sessionManager.destroy();
        handlers.onClose();
      };
      const incoming = client.exchange(outgoing, { signal: abortController.signal });
      readMessages(incoming[Symbol.asyncIterator](), handlers, close);
      return { close, send: (message) => outgoing.push(encodeMessage(message)) };
    },
  };
}

/** Server that accepts streams of peers. */
export interface PeerServer {
  /** Host and port on which the server listens. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/**
 * Starts the server that accepts streams of peers. Rejects with the error of Node.js when it cannot
 * listen on the address.
 */
export async function startPeerServer(
  { host, port }: Config.ListenAddress,
  accept: PeerStream.AcceptStream,
): Promise<PeerServer> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const options = { settings: { maxConcurrentStreams: MAX_STREAMS } };
  const server = http2.createServer(options, connectNode.connectNodeAdapter({
    readMaxBytes: PeerGuard.MAX_MESSAGE_BYTES,
    routes: (router) => {
      router.service(Peer.PeerService, {
        exchange: (incoming, context) => {
          const outgoing = createSendQueue();
          let closed = false;
          let handlers: PeerStream.PeerStreamHandlers | undefined;
          const close = (): void => {
            if (closed) return;
            closed = true;
            outgoing.end();
            handlers?.onClose();
          };
          handlers = accept({
            close, send: (message) => outgoing.push(encodeMessage(message)),
          });
          context.signal.addEventListener('abort', close);
          readMessages(incoming[Symbol.asyncIterator](), handlers, close);
          return outgoing;
        },
      });
    },
  }));
  PeerGuard.guardPeerServer(server, Core.systemClock);
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const boundAddress = server.address() as net.AddressInfo;
  return {
    address: `${host}:${boundAddress.port}`,
    close: async () => {
      sessions.forEach((session) => session.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
