/**
 * Membership service of one daemon. It keeps the planned streams open, sends a heartbeat message on
 * each of them once per interval, answers the messages of peers, and forwards configuration. The
 * decisions are made by the pure functions of `MembershipState` and `Topology`.
 */
import * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as Member from './Member.js';
import * as MembershipState from './MembershipState.js';
import * as PeerStream from './PeerStream.js';
import * as Topology from './Topology.js';

/** Maximum total size of the payloads of one heartbeat, in bytes. */
export const PAYLOADS_MAX_BYTES = 4_096;

/** Interval between full digests to a relay or to another data centre, in messages. */
const RELAY_FULL_DIGEST_MESSAGES = 4;
/**
 * Interval between full digests to a member that is not a relay, in messages. Changes are sent at
 * once, so the full digest only repairs lost updates. It is below the 20 intervals after which
 * summaries become stale.
 */
const MEMBER_FULL_DIGEST_MESSAGES = 16;
/** Number of send times kept per stream to find when an acknowledged message was sent. */
const MAX_SEND_TIMES = 64;
/** Minimum time between two full configuration snapshots on one stream, in milliseconds. */
const STATE_MIN_INTERVAL_MS = 5_000;
/** A stream that a peer opened is closed after this multiple of `suspectMs` without a message. */
const ACCEPTED_TIMEOUT_FACTOR = 2;

/** Payload that another component adds to the heartbeats to relays. */
export interface HeartbeatPayload {
  /** Builds the payload of the next heartbeat; an empty one is not sent. */
  readonly build: () => Uint8Array;
  /** Called on a relay with the payload that a member of its data centre sent. */
  readonly onReport?: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Called when an incarnation is lost or is replaced by a newer one. */
  readonly onLost?: (source: Core.Writer) => void;
}

/** Options of `createMembership`. */
export interface MembershipOptions {
  readonly self: Core.Writer & {
    readonly dataCentre: string;
    readonly region: string;
    readonly address: string;
  };
  readonly timing: Pick<Config.Timing, 'heartbeatMs' | 'suspectMs'>;
  readonly clock: Core.Clock;
  readonly store: Config.ConfigStore;
  readonly transport: PeerStream.PeerTransport;
  readonly getSeeds: () => readonly Topology.Seed[];
  readonly logger?: Core.Logger;
}

/** Immutable view of the fleet for other components. */
export interface FleetView {
  readonly self: Member.Member;
  /** Members of the local data centre, including this daemon, sorted by daemon id. */
  readonly localMembers: readonly Member.Member[];
  /** Daemon ids of the relays of the local data centre, the highest ranked first. */
  readonly relays: readonly string[];
  readonly isRelay: boolean;
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/** Counters of streams, messages and payloads, reported in the status of the operator interface. */
export interface MembershipCounts {
  readonly openedStreams: number;
  readonly acceptedStreams: number;
  readonly sentMessages: number;
  readonly receivedMessages: number;
  /** Payloads left out because the heartbeat would have exceeded `PAYLOADS_MAX_BYTES`. */
  readonly droppedParts: number;
}

/** Membership service of one daemon. */
export interface Membership {
  /** Applies time-outs, updates the streams and sends heartbeats; call it every `heartbeatMs`. */
  readonly runHeartbeat: () => void;
  readonly acceptStream: PeerStream.AcceptStream;
  readonly getView: () => FleetView;
  readonly getCounts: () => MembershipCounts;
  /** Lists the last report of each member, by daemon id; only relays receive reports. */
  readonly listReports: () => ReadonlyMap<string, MembershipState.MemberReport>;
  readonly registerPayload: (name: string, payload: HeartbeatPayload) => Core.Cleanup;
  /** Registers a number that relays add up in the summaries of data centres and regions. */
  readonly registerValue: (name: string, read: () => number) => Core.Cleanup;
  readonly registerListener: (listener: (view: FleetView) => void) => Core.Cleanup;
  /**
   * True when this daemon must read the log itself: it is a relay, or no relay has forwarded recent
   * contact with the log.
   */
  readonly isTailNeeded: () => boolean;
  /** True when a newer incarnation is known; false for one that is only lost and may come back. */
  readonly isReplaced: (writer: Core.Writer) => boolean;
  /** Marks this daemon as leaving and sends its new status to all connected peers at once. */
  readonly announceLeaving: () => void;
  readonly close: () => void;
}

/** Mutable state of a stream, replaced as a whole. */
interface StreamProgress {
  /** Record of the peer in the newest message received on this stream. */
  readonly remote: Member.Member | undefined;
  readonly remoteConfigOffset: number | undefined;
  readonly lastReceivedMs: Core.Millis;
  /** Number of digests built for this stream. */
  readonly digestCount: number;
  readonly stateSentMs: Core.Millis | undefined;
  /** Revision of this daemon's view that was last sent to the peer. */
  readonly viewRevision: number;
}

/** A stream with what was sent and received on it. */
interface TrackedStream {
  readonly peerStream: PeerStream.PeerStream;
  /** Address to which this daemon opened the stream; undefined where the peer opened it. */
  readonly address: string | undefined;
  /** Monotonic send time of each recent message, by sequence. */
  readonly sendTimes: Map<number, Core.Millis>;
  /** Key of the last record sent to the peer for each member, by daemon id. */
  readonly sentMembers: Map<string, string>;
  readonly getProgress: () => StreamProgress;
  readonly updateProgress: (change: Partial<StreamProgress>) => void;
}

const decodeEntries = Schema.decodeUnknownEither(Schema.Array(Log.LogEntry));
const emptyBytes = new Uint8Array(0);

function encodeJson(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function createTrackedStream(
  peerStream: PeerStream.PeerStream,
  address: string | undefined,
  nowMs: Core.Millis,
): TrackedStream {
  let progress: StreamProgress = {
    digestCount: 0,
    lastReceivedMs: nowMs,
    remote: undefined,
    remoteConfigOffset: undefined,
    stateSentMs: undefined,
    viewRevision: -1,
  };
  return {
    address,
    getProgress: () => progress,
    peerStream,
    sendTimes: new Map(),
    sentMembers: new Map(),
    updateProgress: (change) => {
      progress = { ...progress, ...change };
    },
  };
}

const emptyDigest: Topology.Digest = { dataCentres: [], members: [], regions: [] };

/** Builds a key of the fields of a member record whose change is sent at once. */
function buildMemberKey({ address, incarnation, status }: Member.Member): string {
  return `${incarnation}/${status}/${address}`;
}

type Members = MembershipState.MembershipState['members'];

/** Lists the incarnations that a change of the members marked as lost or replaced. */
function listEndedIncarnations(before: Members, after: Members): readonly Core.Writer[] {
  return [...before.values()].flatMap(({ member }) => {
    const current = after.get(member.daemonId)?.member;
    if (member.status === Member.STATUS.lost || current === undefined) return [];
    const isEnded = current.incarnation !== member.incarnation
      || current.status === Member.STATUS.lost;
    return isEnded ? [{ daemonId: member.daemonId, incarnation: member.incarnation }] : [];
  });
}

/** True when a member was added or removed, or changed its incarnation, status or address. */
function hasMembershipChanged(before: Members, after: Members): boolean {
  if (before === after) return false;
  return before.size !== after.size || [...after].some(([daemonId, { member }]) => {
    const old = before.get(daemonId)?.member;
    if (old === member) return false;
    return old === undefined || buildMemberKey(old) !== buildMemberKey(member);
  });
}

/** Creates the service; nothing is sent before the first `runHeartbeat`. */
export function createMembership({
  clock, getSeeds, logger, self, store, timing, transport,
}: MembershipOptions): Membership {
  const streams = new Set<TrackedStream>();
  const payloads = new Map<string, HeartbeatPayload>();
  const valueReaders = new Map<string, () => number>();
  const listeners = new Set<(view: FleetView) => void>();
  let state = MembershipState.createMembershipState({
    ...self, sequence: 0, status: Member.STATUS.live,
  });
  let relays: readonly string[] = [self.daemonId];
  let revision = 0;
  let intervalCount = 0;
  let relayContactMs: Core.Millis | undefined;
  let closed = false;
  let counts = { droppedParts: 0, receivedMessages: 0, sentMessages: 0 };

  const readValues = (): Readonly<Record<string, number>> => Object.fromEntries(
    [...valueReaders].map(([name, read]) => [name, read()]),
  );

  const buildPayloads = (): Readonly<Record<string, Uint8Array>> => {
    let bytes = 0;
    const built = [...payloads].map(([name, payload]) => [name, payload.build()] as const)
      .filter(([, { length }]) => length > 0);
    const kept = built.filter(([, { length }]) => {
      if (bytes + length > PAYLOADS_MAX_BYTES) return false;
      bytes += length;
      return true;
    });
    counts = { ...counts, droppedParts: counts.droppedParts + built.length - kept.length };
    return Object.fromEntries(kept);
  };

  const buildView = (): FleetView => {
    const localValues = readValues();
    return {
      dataCentres: Topology.listDataCentres(state, localValues),
      isRelay: relays.includes(state.self.daemonId),
      localMembers: MembershipState.listLocalMembers(state),
      regions: Topology.listRegions(state, localValues),
      relays,
      self: state.self,
    };
  };

  const setState = (next: MembershipState.MembershipState): void => {
    const changed = next.self.status !== state.self.status
      || hasMembershipChanged(state.members, next.members);
    const ended = changed ? listEndedIncarnations(state.members, next.members) : [];
    state = next;
    if (!changed) return;
    ended.forEach((source) => payloads.forEach(({ onLost }) => onLost?.(source)));
    // Membership changes are rare. Between them, the cached relays and the revision spare each
    // message a ranking of the relays and a comparison of all members.
    revision += 1;
    relays = MembershipState.chooseLocalRelays(state).map(({ daemonId }) => daemonId);
    if (listeners.size === 0) return;
    const view = buildView();
    listeners.forEach((listener) => listener(view));
  };

  const buildConfigUpdate = (stream: TrackedStream): PeerStream.ConfigUpdate | undefined => {
    const { offset } = store.getState();
    const { remoteConfigOffset, stateSentMs } = stream.getProgress();
    if (remoteConfigOffset === undefined || remoteConfigOffset >= offset) return undefined;
    const recent = store.listEntriesAfter(remoteConfigOffset);
    if (recent !== undefined) {
      stream.updateProgress({ remoteConfigOffset: offset });
      return {
        afterOffset: recent.afterOffset, entries: encodeJson(recent.entries), state: emptyBytes,
      };
    }
    const nowMs = clock.readMonotonic();
    if (stateSentMs !== undefined && nowMs - stateSentMs < STATE_MIN_INTERVAL_MS) return undefined;
    stream.updateProgress({ stateSentMs: nowMs });
    return {
      afterOffset: -1,
      entries: emptyBytes,
      state: encodeJson(Config.buildSnapshot(store.getState())),
    };
  };

  const buildDigest = (stream: TrackedStream): Topology.Digest => {
    const { digestCount, remote, viewRevision } = stream.getProgress();
    // Before its first message, a peer may be in another region, which gets region summaries only.
    // A member that is not a relay sends no digest, because it has all records from its relays.
    const isOpener = stream.address !== undefined;
    if (remote === undefined || (isOpener && !relays.includes(self.daemonId))) return emptyDigest;
    const isMember = !isOpener && remote.dataCentre === self.dataCentre
      && !relays.includes(remote.daemonId);
    const isFull = digestCount % (
      isMember ? MEMBER_FULL_DIGEST_MESSAGES : RELAY_FULL_DIGEST_MESSAGES
    ) === 0;
    stream.updateProgress({ digestCount: digestCount + 1, viewRevision: revision });
    if (!isFull && viewRevision === revision) return emptyDigest;
    const digest = Topology.buildDigest(state, remote, readValues());
    const members = isFull ? digest.members : digest.members.filter((member) => (
      stream.sentMembers.get(member.daemonId) !== buildMemberKey(member)
    ));
    members.forEach((member) => stream.sentMembers.set(member.daemonId, buildMemberKey(member)));
    return isFull ? digest : { ...emptyDigest, members };
  };

  const sendMessage = (stream: TrackedStream): void => {
    state = { ...state, self: { ...state.self, sequence: state.self.sequence + 1 } };
    const nowMs = clock.readMonotonic();
    const contact = store.getContact();
    const { remote } = stream.getProgress();
    const isToLocalRelay = stream.address !== undefined && remote?.dataCentre === self.dataCentre;
    stream.sendTimes.set(state.self.sequence, nowMs);
    const [oldest] = stream.sendTimes.keys();
    if (
      stream.sendTimes.size > MAX_SEND_TIMES && oldest !== undefined
    ) stream.sendTimes.delete(oldest);
    counts = { ...counts, sentMessages: counts.sentMessages + 1 };
    stream.peerStream.send({
      ...buildDigest(stream),
      acknowledged: remote?.sequence ?? 0,
      config: stream.address === undefined ? buildConfigUpdate(stream) : undefined,
      configOffset: store.getState().offset,
      contact: contact === undefined
        ? undefined
        : { ageMs: nowMs - contact.contactMs, offset: contact.offset },
      parts: isToLocalRelay ? buildPayloads() : {},
      sender: state.self,
      values: isToLocalRelay ? readValues() : {},
    });
  };

  const removeStream = (stream: TrackedStream): void => {
    if (!streams.delete(stream)) return;
    stream.peerStream.close();
  };

  const applyConfig = ({ config }: PeerStream.PeerMessage): void => {
    if (config === undefined) return;
    if (config.state.length > 0) {
      store.applyEvent({ _tag: 'peer-state', body: parseJson(config.state) });
    }
    if (config.entries.length === 0) return;
    const entries = decodeEntries(parseJson(config.entries));
    if (Either.isLeft(entries)) return;
    store.applyEvent({
      _tag: 'entries', afterOffset: config.afterOffset, entries: entries.right,
    });
  };

  const applyContact = (stream: TrackedStream, message: PeerStream.PeerMessage): void => {
    const sentMs = stream.sendTimes.get(message.acknowledged);
    if (message.contact === undefined || sentMs === undefined) return;
    const { ageMs, offset } = message.contact;
    const contact = Config.toLocalContact(sentMs, ageMs, offset);
    store.recordPeerContact(message.sender.daemonId, contact);
    // Only the accepting side of a stream forwards configuration.
    if (stream.address === undefined || offset > store.getState().offset) return;
    relayContactMs = Math.max(relayContactMs ?? contact.contactMs, contact.contactMs);
  };

  const handleMessage = (stream: TrackedStream, message: PeerStream.PeerMessage): void => {
    const { sender } = message;
    if (closed || !streams.has(stream) || !PeerStream.isValidSender(sender)) return;
    if (MembershipState.isFromOldIncarnation(state, sender) || sender.daemonId === self.daemonId) {
      // An old incarnation or another process with the id of this daemon gets no answer.
      removeStream(stream);
      return;
    }
    const { remote } = stream.getProgress();
    if (remote !== undefined && Member.compareVersions(sender, remote) <= 0) return;
    counts = { ...counts, receivedMessages: counts.receivedMessages + 1 };
    const nowMs = clock.readMonotonic();
    const knownStatus = state.members.get(sender.daemonId)?.member.status;
    stream.updateProgress({
      lastReceivedMs: nowMs, remote: sender, remoteConfigOffset: message.configOffset,
    });
    const updated = MembershipState.applyUpdate(state, message, nowMs);
    // Only the opener of a stream sends reports. An answer has none and must not overwrite one.
    setState(
      stream.address === undefined ? MembershipState.applyReport(updated, message) : updated,
    );
    if (stream.address === undefined && sender.dataCentre === self.dataCentre) {
      const { daemonId, incarnation } = sender;
      payloads.forEach(({ onReport }, name) => {
        const bytes = message.parts[name];
        if (bytes !== undefined) onReport?.({ daemonId, incarnation }, bytes);
      });
    }
    applyConfig(message);
    applyContact(stream, message);
    if (remote === undefined) {
      // A new stream of a peer replaces an older one in the same direction, which may be broken.
      [...streams].filter((other) => (
        other !== stream
        && (other.address === undefined) === (stream.address === undefined)
        && other.getProgress().remote?.daemonId === sender.daemonId
      )).forEach(removeStream);
    }
    if (stream.address === undefined) sendMessage(stream);
    if (knownStatus === Member.STATUS.live && sender.status === Member.STATUS.leaving) {
      [...streams].filter((other) => other !== stream && other.address === undefined)
        .forEach(sendMessage);
    }
  };

  const createHandlers = (
    getStream: () => TrackedStream | undefined,
  ): PeerStream.PeerStreamHandlers => ({
    onClose: () => {
      const stream = getStream();
      if (stream !== undefined) removeStream(stream);
    },
    onMessage: (message) => {
      const stream = getStream();
      if (stream !== undefined) handleMessage(stream, message);
    },
  });

  const openStream = (address: string): void => {
    let stream: TrackedStream | undefined;
    const peerStream = transport.open(address, createHandlers(() => stream));
    stream = createTrackedStream(peerStream, address, clock.readMonotonic());
    streams.add(stream);
    sendMessage(stream);
  };

  const closeSilentStreams = (nowMs: Core.Millis): void => {
    [...streams].forEach((stream) => {
      const { lastReceivedMs, remote } = stream.getProgress();
      const timeoutFactor = stream.address === undefined ? ACCEPTED_TIMEOUT_FACTOR : 1;
      if (nowMs - lastReceivedMs <= timing.suspectMs * timeoutFactor) return;
      logger?.info(
        { peer: remote?.daemonId ?? stream.address },
        'peer stream closed: no message received within the time-out',
      );
      removeStream(stream);
    });
  };

  const undoStoreListener = store.registerListener(() => {
    [...streams].filter(({ address, getProgress }) => (
      address === undefined && getProgress().remote !== undefined
    )).forEach(sendMessage);
  });

  return {
    acceptStream: (peerStream) => {
      const stream = createTrackedStream(peerStream, undefined, clock.readMonotonic());
      if (closed) peerStream.close();
      else streams.add(stream);
      return createHandlers(() => stream);
    },
    announceLeaving: () => {
      if (state.self.status === Member.STATUS.leaving) return;
      setState({ ...state, self: { ...state.self, status: Member.STATUS.leaving } });
      [...streams].forEach(sendMessage);
    },
    close: () => {
      closed = true;
      undoStoreListener();
      [...streams].forEach(removeStream);
    },
    getCounts: () => ({
      ...counts,
      acceptedStreams: [...streams].filter(({ address }) => address === undefined).length,
      openedStreams: [...streams].filter(({ address }) => address !== undefined).length,
    }),
    getView: buildView,
    isReplaced: ({ daemonId, incarnation }) => {
      const known = state.members.get(daemonId)?.member.incarnation;
      return known !== undefined && Member.compareIncarnations(incarnation, known) < 0;
    },
    isTailNeeded: () => relays.includes(self.daemonId)
      || relayContactMs === undefined
      || clock.readMonotonic() - relayContactMs > timing.suspectMs,
    listReports: () => state.reports,
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    registerPayload: (name, payload) => {
      payloads.set(name, payload);
      return () => {
        payloads.delete(name);
      };
    },
    registerValue: (name, read) => {
      valueReaders.set(name, read);
      return () => {
        valueReaders.delete(name);
      };
    },
    runHeartbeat: () => {
      if (closed) return;
      const nowMs = clock.readMonotonic();
      intervalCount += 1;
      closeSilentStreams(nowMs);
      setState(MembershipState.applyTimeouts(state, nowMs, timing.suspectMs));
      const targets = Topology.planStreams({ intervalCount, seeds: getSeeds(), state });
      const plannedAddresses = new Set(targets.map(({ address }) => address));
      [...streams]
        .filter(({ address }) => address !== undefined && !plannedAddresses.has(address))
        .forEach(removeStream);
      const openAddresses = new Set([...streams].map(({ address }) => address));
      [...streams].filter(({ address }) => address !== undefined).forEach(sendMessage);
      targets.filter(({ address }) => !openAddresses.has(address))
        .forEach(({ address }) => openStream(address));
    },
  };
}
