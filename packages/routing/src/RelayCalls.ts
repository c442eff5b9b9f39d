/** Carries reads of feeds, and counts, between the daemons of a data centre over connect-es. */
import * as protobuf from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import type * as Core from '@berylyoke/core';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import * as http from 'node:http';
import * as CountsRecord from './CountsRecord.js';
import * as HttpListeners from './HttpListeners.js';
import type * as FeedCopy from './FeedCopy.js';
import type * as FleetOutcomes from './FleetOutcomes.js';
import * as Relay from './gen/berylyoke/relay/v1/relay_pb.js';

/** Time limit of a call in milliseconds: a small VM may take 100 ms to get its processor. */
const READ_TIMEOUT_MS = 400;

/** Connections to one relay: one call of each feed is under way at a time. */
const MAX_CONNECTIONS = 4;

/** The other daemon did not answer, or has no copy of the feed. */
export class RelayUnavailable extends Data.TaggedError('RelayUnavailable')<{
  readonly detail: string;
}> {}

/**
 * Time limit of a hand-over in milliseconds: the relay's batch and an append. Together with an
 * append of the daemon's own it has to end before the holder seals the window, 1.5 s after its end.
 */
const HAND_OVER_TIMEOUT_MS = 800;

/** Calls of other daemons. */
export interface RelayClient {
  /** Reads the copy of a feed that the daemon holds. */
  readonly read: (
    address: string, feed: string, from: number,
  ) => Effect.Effect<FeedCopy.CopyPage, RelayUnavailable>;
  /** Hands over counts; fails where they are not known to be stored. */
  readonly handOver: (
    address: string, records: readonly CountsRecord.CountsRecord[], isFinal: boolean,
  ) => Effect.Effect<void, RelayUnavailable>;
  /** Tells what this daemon observed, and returns what many did. */
  readonly exchangeOutcomes: (
    address: string, outcomes: readonly FleetOutcomes.ServerOutcomes[],
  ) => Effect.Effect<readonly FleetOutcomes.ServerOutcomes[], RelayUnavailable>;
}

/** Time limit of an exchange of outcomes in milliseconds; the next one follows soon. */
const EXCHANGE_TIMEOUT_MS = 400;

/** What a daemon does for others. */
export interface RelayHandlers {
  readonly readCopy: (feed: string, from: number) => FeedCopy.CopyPage | undefined;
  /** Resolves when the records are kept, with false where that failed. */
  readonly receiveCounts: (
    records: readonly CountsRecord.CountsRecord[], isFinal: boolean,
  ) => Promise<boolean>;
  readonly receiveOutcomes: (
    outcomes: readonly FleetOutcomes.ServerOutcomes[],
  ) => readonly FleetOutcomes.ServerOutcomes[];
}

const decodeCountsText = Schema.decodeUnknownOption(Schema.parseJson(CountsRecord.CountsRecord));

function encodePage(copyPage: FeedCopy.CopyPage | undefined): Relay.ReadFeedResponse {
  return protobuf.create(Relay.ReadFeedResponseSchema, copyPage === undefined ? {} : {
    ageMs: copyPage.ageMs,
    changes: copyPage.page.changes.map(({ key, offset, raw }) => ({ key, offset, value: raw })),
    failureAgeMs: copyPage.failureAgeMs,
    isKnown: true,
    isSnapshot: copyPage.isSnapshot,
    next: copyPage.page.next,
  });
}

function decodePage(response: Relay.ReadFeedResponse): FeedCopy.CopyPage | undefined {
  return response.isKnown ? {
    ageMs: response.ageMs,
    failureAgeMs: response.failureAgeMs,
    isSnapshot: response.isSnapshot,
    page: {
      changes: response.changes.map(({ key, offset, value }) => ({
        key, offset, raw: value === undefined ? undefined : Buffer.from(value),
      })),
      next: response.next,
    },
  } : undefined;
}

/** Creates the client of other daemons. */
export function createRelayClient(): RelayClient {
  const agent = new http.Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });
  const clients = new Map<string, connect.Client<typeof Relay.RelayService>>();
  const getClient = (address: string): connect.Client<typeof Relay.RelayService> => {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = connect.createClient(Relay.RelayService, connectNode.createConnectTransport({
      baseUrl: `http://${address}`, httpVersion: '1.1', nodeOptions: { agent },
    }));
    clients.set(address, client);
    return client;
  };
  const request = <T>(
    send: (options: connect.CallOptions) => Promise<T>,
    timeoutMs: Core.Millis,
  ): Effect.Effect<T, RelayUnavailable> => Effect.tryPromise({
    catch: (error) => new RelayUnavailable({ detail: String(error) }),
    try: (signal) => send({ signal, timeoutMs }),
  });
  return {
    exchangeOutcomes: (address, outcomes) => request(
      (options) => getClient(address).exchangeOutcomes({ outcomes: [...outcomes] }, options),
      EXCHANGE_TIMEOUT_MS,
    ).pipe(Effect.map((response) => response.outcomes)),
    handOver: (address, records, isFinal) => request((options) => getClient(address).handOver({
      isFinal, records: records.map((record) => Buffer.from(JSON.stringify(record))),
    }, options), HAND_OVER_TIMEOUT_MS).pipe(Effect.flatMap(({ isStored }) => (
      isStored ? Effect.void : Effect.fail(new RelayUnavailable({ detail: 'counts not stored' }))
    ))),
    read: (address, feed, from) => request(
      (options) => getClient(address).readFeed({ feed, from }, options),
      READ_TIMEOUT_MS,
    ).pipe(Effect.flatMap((response) => {
      const page = decodePage(response);
      return page === undefined
        ? Effect.fail(new RelayUnavailable({ detail: `no copy of ${feed}` }))
        : Effect.succeed(page);
    })),
  };
}

function decodeRecords(records: readonly Uint8Array[]): readonly CountsRecord.CountsRecord[] {
  return records.flatMap((bytes) => {
    const decoded = decodeCountsText(Buffer.from(bytes).toString('utf8'));
    return decoded._tag === 'None' ? [] : [decoded.value];
  });
}

/** Starts answering other daemons; resolves when it listens. */
export function startRelayListener(
  address: string,
  handlers: RelayHandlers,
): Promise<HttpListeners.InternalListener> {
  return HttpListeners.startInternalListener(address, connectNode.connectNodeAdapter({
    routes: (router) => {
      router.service(Relay.RelayService, {
        handOver: async ({ isFinal, records }) => ({
          isStored: await handlers.receiveCounts(decodeRecords(records), isFinal),
        }),
        exchangeOutcomes: ({ outcomes }) => ({ outcomes: [...handlers.receiveOutcomes(outcomes)] }),
        readFeed: ({ feed, from }) => encodePage(handlers.readCopy(feed, from)),
      });
    },
  }));
}
