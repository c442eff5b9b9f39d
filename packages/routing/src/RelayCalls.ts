/**
 * Calls between the daemons of a region over connect-es: reads of feeds, hand-over of usage counts,
 * and exchange of observations of backend servers.
 */
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
import type * as RequestLimits from './RequestLimits.js';
import * as Relay from './gen/berylyoke/relay/v1/relay_pb.js';

/** Timeout of a read; a process on a small VM may wait 100 ms for processor time. */
const READ_TIMEOUT_MS = 400;

/** Maximum number of connections to one relay; at most one read per feed is in progress. */
const MAX_CONNECTIONS = 4;

/** The other daemon did not answer, or has no copy of the feed. */
export class RelayUnavailable extends Data.TaggedError('RelayUnavailable')<{
  readonly detail: string;
}> {}

/**
 * Timeout of a hand-over, which waits for the relay's batch and its append. After a time-out the
 * daemon appends the counts itself. Both must end before the lease holder seals the window, 1.5 s
 * after the window's end.
 */
const HAND_OVER_TIMEOUT_MS = 800;

/** Observations of backend servers that daemons exchange. */
export interface FleetObservations {
  readonly limits: readonly RequestLimits.LimitReport[];
  readonly outcomes: readonly FleetOutcomes.ServerOutcomes[];
}

/** Client for calls to other daemons. */
export interface RelayClient {
  /** Reads the changes from an offset in the other daemon's copy of a feed. */
  readonly read: (
    address: string, feed: string, from: number,
  ) => Effect.Effect<FeedCopy.CopyPage, RelayUnavailable>;
  /** Hands over counts; fails unless the relay stored final counts or kept interim ones. */
  readonly handOver: (
    address: string, records: readonly CountsRecord.CountsRecord[], isFinal: boolean,
  ) => Effect.Effect<void, RelayUnavailable>;
  /** Sends the observations of this daemon and returns those of the fleet. */
  readonly exchangeObservations: (
    address: string, observations: FleetObservations,
  ) => Effect.Effect<FleetObservations, RelayUnavailable>;
}

/** Timeout of an exchange of observations; a failed one is repeated with the next exchange. */
const EXCHANGE_TIMEOUT_MS = 400;

/** Handlers of the calls of other daemons. */
export interface RelayHandlers {
  /** Returns the changes from an offset in the copy of a feed; undefined without a copy. */
  readonly readCopy: (feed: string, from: number) => FeedCopy.CopyPage | undefined;
  /** Stores final counts or keeps interim counts; resolves with whether that succeeded. */
  readonly receiveCounts: (
    records: readonly CountsRecord.CountsRecord[], isFinal: boolean,
  ) => Promise<boolean>;
  /** Adds the observations of another daemon and returns those of the fleet. */
  readonly receiveObservations: (observations: FleetObservations) => FleetObservations;
}

const decodeCountsText = Schema.decodeUnknownOption(Schema.parseJson(CountsRecord.CountsRecord));

/** Copies observations into the mutable arrays of a message. */
function encodeObservations(
  { limits, outcomes }: FleetObservations,
): { limits: RequestLimits.LimitReport[]; outcomes: FleetOutcomes.ServerOutcomes[] } {
  return { limits: [...limits], outcomes: [...outcomes] };
}

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

/** Creates a client for calls to other daemons. */
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
    exchangeObservations: (address, observations) => request(
      (options) => getClient(address)
        .exchangeOutcomes(encodeObservations(observations), options),
      EXCHANGE_TIMEOUT_MS,
    ),
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
        ? Effect.fail(new RelayUnavailable({ detail: `relay has no copy of feed ${feed}` }))
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

/** Starts the listener for calls of other daemons; resolves when it listens. */
export function startRelayListener(
  address: string,
  handlers: RelayHandlers,
  guardSettings: HttpListeners.GuardSettings,
): Promise<HttpListeners.InternalListener> {
  return HttpListeners.startInternalListener(address, connectNode.connectNodeAdapter({
    routes: (router) => {
      router.service(Relay.RelayService, {
        handOver: async ({ isFinal, records }) => ({
          isStored: await handlers.receiveCounts(decodeRecords(records), isFinal),
        }),
        exchangeOutcomes: (message) => encodeObservations(handlers.receiveObservations(message)),
        readFeed: ({ feed, from }) => encodePage(handlers.readCopy(feed, from)),
      });
    },
  }), guardSettings);
}
