/** Carries the streams between daemons over connect-es on HTTP/2 without TLS. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import type * as Config from '@berylyoke/config';
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import * as Peer from './gen/berylyoke/peer/v1/peer_pb.js';
import type * as PeerLink from './PeerLink.js';

/**
 * Messages that wait for a stream whose peer does not read. A heartbeat replaces the one before,
 * so the oldest is dropped; entries that are lost with it are sent again after the next one.
 */
const QUEUED_MESSAGES = 16;

interface Outgoing extends AsyncIterable<Peer.PeerMessage> {
  readonly push: (message: Peer.PeerMessage) => void;
  readonly end: () => void;
}

/** Creates an iterable that hands out what is pushed, and drops the oldest beyond the bound. */
function createOutgoing(): Outgoing {
  const queue: Peer.PeerMessage[] = [];
  let ended = false;
  let wake: (() => void) | undefined;
  const next = async (): Promise<IteratorResult<Peer.PeerMessage>> => {
    const message = queue.shift();
    if (message !== undefined) return { done: false, value: message };
    if (ended) return { done: true, value: undefined };
    await new Promise<void>((resolve) => {
      wake = resolve;
    });
    return next();
  };
  const notify = (): void => {
    wake?.();
    wake = undefined;
  };
  return {
    [Symbol.asyncIterator]: () => ({
      next,
      return: async () => {
        ended = true;
        return { done: true, value: undefined };
      },
      // connect aborts an iterable through `throw` and refuses one that has none.
      throw: (error: unknown) => {
        ended = true;
        return Promise.reject(error);
      },
    }),
    end: () => {
      ended = true;
      notify();
    },
    push: (message) => {
      if (ended) return;
      queue.push(message);
      if (queue.length > QUEUED_MESSAGES) queue.shift();
      notify();
    },
  };
}

function encodeMessage(message: PeerLink.PeerMessage): Peer.PeerMessage {
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

function decodeMessage(message: Peer.PeerMessage): PeerLink.PeerMessage | undefined {
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
 * Hands each message to the handlers and calls `onEnd` when the stream ends or fails. Each step
 * starts the next one without waiting for it: a chain of promises would grow with the stream.
 */
function readMessages(
  iterator: AsyncIterator<Peer.PeerMessage>,
  handlers: PeerLink.PeerLinkHandlers,
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
 * Opens one HTTP/2 connection. The session manager of connect-node removes its error listener when
 * a session closes; a server of another protocol at the address then ended the whole process with
 * an unhandled protocol error. The listener here stays.
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

/** Creates the carrier that opens streams. */
export function createConnectTransport(): PeerLink.PeerTransport {
  return {
    open: (address, handlers) => {
      const baseUrl = `http://${address}`;
      // Each stream has a connection of its own, so that closing it leaves nothing silent behind.
      const sessionManager = openSession(baseUrl);
      const abort = new AbortController();
      const outgoing = createOutgoing();
      const client = connect.createClient(Peer.PeerService, connectNode.createConnectTransport({
        baseUrl, httpVersion: '2', sessionManager,
      }));
      let closed = false;
      const close = (): void => {
        if (closed) return;
        closed = true;
        outgoing.end();
        abort.abort();
        sessionManager.destroy();
        handlers.onClose();
      };
      const incoming = client.exchange(outgoing, { signal: abort.signal });
      readMessages(incoming[Symbol.asyncIterator](), handlers, close);
      return { close, send: (message) => outgoing.push(encodeMessage(message)) };
    },
  };
}

/** A server that accepts streams. */
export interface PeerServer {
  /** Host and port that it listens on. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

/** Starts to accept streams. */
export async function startPeerServer(
  { host, port }: Config.ListenAddress,
  accept: PeerLink.AcceptLink,
): Promise<PeerServer> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(connectNode.connectNodeAdapter({
    routes: (router) => {
      router.service(Peer.PeerService, {
        exchange: (incoming, context) => {
          const outgoing = createOutgoing();
          let closed = false;
          let handlers: PeerLink.PeerLinkHandlers | undefined;
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
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as net.AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    close: async () => {
      sessions.forEach((session) => session.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
