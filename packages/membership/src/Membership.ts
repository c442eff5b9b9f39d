/**
 * Membership service of one daemon: holds the streams that the plan asks for, sends a message on
 * each in every interval, answers those of others, and passes configuration on. Decisions are those
 * of `MembershipState` and `Topology`.
 */
import * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';
import * as Member from './Member.js';
import * as MembershipState from './MembershipState.js';
import * as PeerLink from './PeerLink.js';
import * as Topology from './Topology.js';

/** Bytes that the parts of one heartbeat may have together. */
export const PARTS_MAX_BYTES = 4_096;

/** Messages after which a relay or another data centre gets the whole digest again. */
const WHOLE_EVERY_RELAY = 4;
/**
 * Messages after which an ordinary member gets it. Changes are sent at once, so the whole digest
 * only repairs; summaries age out after 20 intervals.
 */
const WHOLE_EVERY_MEMBER = 16;
/** Sent messages of which the time is kept, to date what the peer acknowledges. */
const SENT_KEPT = 64;
/** Least time between two whole states of the configuration on one stream, in milliseconds. */
const STATE_INTERVAL_MS = 5_000;
/** Bounds of silence after which a stream that a peer opened is closed. */
const ACCEPTED_BOUNDS = 2;

/** Another part's share of the heartbeat. */
export interface HeartbeatPart {
  /** Builds the bytes for the next heartbeat; empty for none. */
  readonly build: () => Uint8Array;
  /** Takes the bytes of a member that reports to this relay. */
  readonly onReport?: (source: Core.Writer, bytes: Uint8Array) => void;
  /** Hears that an incarnation was lost, or replaced by a newer one. */
  readonly onLost?: (source: Core.Writer) => void;
}

/** What the service needs. */
export interface MembershipOptions {
  readonly self: Core.Writer & {
    readonly dataCentre: string;
    readonly region: string;
    readonly address: string;
  };
  readonly timing: Pick<Config.Timing, 'heartbeatMs' | 'suspectMs'>;
  readonly clock: Core.Clock;
  readonly store: Config.ConfigStore;
  readonly transport: PeerLink.PeerTransport;
  readonly getSeeds: () => readonly Topology.Seed[];
  readonly logger?: Core.Logger;
}

/** What other parts see of the fleet; replaced as a whole. */
export interface FleetView {
  readonly self: Member.Member;
  /** Members of the own data centre, itself included, in order of name. */
  readonly localMembers: readonly Member.Member[];
  readonly relays: readonly string[];
  readonly isRelay: boolean;
  readonly dataCentres: readonly Member.Summary[];
  readonly regions: readonly Member.Summary[];
}

/** Numbers that show the cost of the service. */
export interface MembershipCounts {
  readonly openedStreams: number;
  readonly acceptedStreams: number;
  readonly sentMessages: number;
  readonly receivedMessages: number;
  readonly droppedParts: number;
}

/** Membership of one daemon. */
export interface Membership {
  /** Steps the service by one interval; the caller runs it every `heartbeatMs`. */
  readonly runHeartbeat: () => void;
  readonly acceptStream: PeerLink.AcceptLink;
  readonly getView: () => FleetView;
  readonly getCounts: () => MembershipCounts;
  /** Finds what a member of the data centre last sent; only a relay has any. */
  readonly listReports: () => ReadonlyMap<string, MembershipState.MemberReport>;
  readonly registerPayload: (name: string, part: HeartbeatPart) => Core.Cleanup;
  /** Registers a number that the relays add up. */
  readonly registerValue: (name: string, read: () => number) => Core.Cleanup;
  readonly registerListener: (listener: (view: FleetView) => void) => Core.Cleanup;
  /** True where this daemon has to read the log itself, because no relay passes it on. */
  readonly isTailNeeded: () => boolean;
  /** True where a newer incarnation of the daemon is known; a lost one may come back. */
  readonly isReplaced: (writer: Core.Writer) => boolean;
  /** Tells every peer at once that this daemon is leaving. */
  readonly announceLeaving: () => void;
  readonly close: () => void;
}

/** What changes in a stream; replaced as a whole. */
interface Progress {
  /** Newest statement of the peer that came on this stream. */
  readonly remote: Member.Member | undefined;
  readonly remoteConfigOffset: number | undefined;
  readonly heardMs: Core.Millis;
  /** Digests sent. */
  readonly digests: number;
  readonly stateSentMs: Core.Millis | undefined;
  /** Revision of the view that the peer was last told. */
  readonly toldRevision: number;
}

interface Stream {
  readonly link: PeerLink.PeerLink;
  /** Address to which this daemon opened the stream; undefined where the peer opened it. */
  readonly address: string | undefined;
  readonly sent: Map<number, Core.Millis>;
  /** Members that the peer was told of, with what it was told. */
  readonly told: Map<string, string>;
  readonly getProgress: () => Progress;
  readonly updateProgress: (change: Partial<Progress>) => void;
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

function createStream(
  link: PeerLink.PeerLink,
  address: string | undefined,
  nowMs: Core.Millis,
): Stream {
  let progress: Progress = {
    digests: 0,
    heardMs: nowMs,
    remote: undefined,
    remoteConfigOffset: undefined,
    stateSentMs: undefined,
    toldRevision: -1,
  };
  return {
    address,
    getProgress: () => progress,
    link,
    sent: new Map(),
    told: new Map(),
    updateProgress: (change) => {
      progress = { ...progress, ...change };
    },
  };
}

const emptyDigest: Topology.Digest = { dataCentres: [], members: [], regions: [] };

function buildToldKey({ address, incarnation, status }: Member.Member): string {
  return `${incarnation}/${status}/${address}`;
}

type Members = MembershipState.MembershipState['members'];

/** Lists the incarnations that are lost or replaced after a change of the members. */
function listLost(before: Members, after: Members): readonly Core.Writer[] {
  return [...before.values()].flatMap(({ member }) => {
    const now = after.get(member.daemonId)?.member;
    if (member.status === Member.STATUS.lost || now === undefined) return [];
    const isGone = now.incarnation !== member.incarnation || now.status === Member.STATUS.lost;
    return isGone ? [{ daemonId: member.daemonId, incarnation: member.incarnation }] : [];
  });
}

/** True when a member came, went, or changed in more than its sequence. */
function hasChanged(before: Members, after: Members): boolean {
  if (before === after) return false;
  return before.size !== after.size || [...after].some(([daemonId, { member }]) => {
    const old = before.get(daemonId)?.member;
    if (old === member) return false;
    return old === undefined || buildToldKey(old) !== buildToldKey(member);
  });
}

/** Creates the service; nothing is sent before the first interval. */
export function createMembership({
  clock, getSeeds, logger, self, store, timing, transport,
}: MembershipOptions): Membership {
  const streams = new Set<Stream>();
  const parts = new Map<string, HeartbeatPart>();
  const values = new Map<string, () => number>();
  const listeners = new Set<(view: FleetView) => void>();
  let state = MembershipState.createMembershipState({
    ...self, sequence: 0, status: Member.STATUS.live,
  });
  let relays: readonly string[] = [self.daemonId];
  let revision = 0;
  let round = 0;
  let relayContactMs: Core.Millis | undefined;
  let closed = false;
  let counts = { droppedParts: 0, receivedMessages: 0, sentMessages: 0 };

  const readValues = (): Readonly<Record<string, number>> => Object.fromEntries(
    [...values].map(([name, read]) => [name, read()]),
  );

  const buildParts = (): Readonly<Record<string, Uint8Array>> => {
    let bytes = 0;
    const built = [...parts].map(([name, part]) => [name, part.build()] as const)
      .filter(([, { length }]) => length > 0);
    const kept = built.filter(([, { length }]) => {
      if (bytes + length > PARTS_MAX_BYTES) return false;
      bytes += length;
      return true;
    });
    counts = { ...counts, droppedParts: counts.droppedParts + built.length - kept.length };
    return Object.fromEntries(kept);
  };

  const buildView = (): FleetView => {
    const ownValues = readValues();
    return {
      dataCentres: Topology.listDataCentres(state, ownValues),
      isRelay: relays.includes(state.self.daemonId),
      localMembers: MembershipState.listNeighbours(state),
      regions: Topology.listRegions(state, ownValues),
      relays,
      self: state.self,
    };
  };

  const setState = (next: MembershipState.MembershipState): void => {
    const changed = next.self.status !== state.self.status
      || hasChanged(state.members, next.members);
    const lost = changed ? listLost(state.members, next.members) : [];
    state = next;
    if (!changed) return;
    lost.forEach((source) => parts.forEach(({ onLost }) => onLost?.(source)));
    // Between changes, which are rare, a message costs no ranking and no comparison of members.
    revision += 1;
    relays = MembershipState.chooseOwnRelays(state).map(({ daemonId }) => daemonId);
    if (listeners.size === 0) return;
    const view = buildView();
    listeners.forEach((listener) => listener(view));
  };

  const buildConfigUpdate = (stream: Stream): PeerLink.ConfigUpdate | undefined => {
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
    if (stateSentMs !== undefined && nowMs - stateSentMs < STATE_INTERVAL_MS) return undefined;
    stream.updateProgress({ stateSentMs: nowMs });
    return {
      afterOffset: -1,
      entries: emptyBytes,
      state: encodeJson(Config.buildSnapshot(store.getState())),
    };
  };

  const buildDigest = (stream: Stream): Topology.Digest => {
    const { digests, remote, toldRevision } = stream.getProgress();
    // A peer that has not spoken yet may stand in another region, which gets sums only. An ordinary
    // member reports to its relays; what it knows of others came from them.
    const isOpener = stream.address !== undefined;
    if (remote === undefined || (isOpener && !relays.includes(self.daemonId))) return emptyDigest;
    const isMember = !isOpener && remote.dataCentre === self.dataCentre
      && !relays.includes(remote.daemonId);
    const isWhole = digests % (isMember ? WHOLE_EVERY_MEMBER : WHOLE_EVERY_RELAY) === 0;
    stream.updateProgress({ digests: digests + 1, toldRevision: revision });
    if (!isWhole && toldRevision === revision) return emptyDigest;
    const digest = Topology.buildDigest(state, remote, readValues());
    const members = isWhole ? digest.members : digest.members.filter((member) => (
      stream.told.get(member.daemonId) !== buildToldKey(member)
    ));
    members.forEach((member) => stream.told.set(member.daemonId, buildToldKey(member)));
    return isWhole ? digest : { ...emptyDigest, members };
  };

  const sendMessage = (stream: Stream): void => {
    state = { ...state, self: { ...state.self, sequence: state.self.sequence + 1 } };
    const nowMs = clock.readMonotonic();
    const contact = store.getContact();
    const { remote } = stream.getProgress();
    const toOwnRelay = stream.address !== undefined && remote?.dataCentre === self.dataCentre;
    stream.sent.set(state.self.sequence, nowMs);
    const [oldest] = stream.sent.keys();
    if (stream.sent.size > SENT_KEPT && oldest !== undefined) stream.sent.delete(oldest);
    counts = { ...counts, sentMessages: counts.sentMessages + 1 };
    stream.link.send({
      ...buildDigest(stream),
      acknowledged: remote?.sequence ?? 0,
      config: stream.address === undefined ? buildConfigUpdate(stream) : undefined,
      configOffset: store.getState().offset,
      contact: contact === undefined
        ? undefined
        : { ageMs: nowMs - contact.contactMs, offset: contact.offset },
      parts: toOwnRelay ? buildParts() : {},
      sender: state.self,
      values: toOwnRelay ? readValues() : {},
    });
  };

  const removeStream = (stream: Stream): void => {
    if (!streams.delete(stream)) return;
    stream.link.close();
  };

  const applyConfig = ({ config }: PeerLink.PeerMessage): void => {
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

  const applyContact = (stream: Stream, message: PeerLink.PeerMessage): void => {
    const sentMs = stream.sent.get(message.acknowledged);
    if (message.contact === undefined || sentMs === undefined) return;
    const { ageMs, offset } = message.contact;
    const contact = Config.toLocalContact(sentMs, ageMs, offset);
    store.recordVouch(message.sender.daemonId, contact);
    // Only a peer that answers the own stream passes configuration on.
    if (stream.address === undefined || offset > store.getState().offset) return;
    relayContactMs = Math.max(relayContactMs ?? contact.contactMs, contact.contactMs);
  };

  const handleMessage = (stream: Stream, message: PeerLink.PeerMessage): void => {
    const { sender } = message;
    if (closed || !streams.has(stream) || !PeerLink.isNamed(sender)) return;
    if (MembershipState.isOutdated(state, sender) || sender.daemonId === self.daemonId) {
      // Another process under the own name, or a replaced incarnation, gets no answer.
      removeStream(stream);
      return;
    }
    const { remote } = stream.getProgress();
    if (remote !== undefined && Member.compareStatements(sender, remote) <= 0) return;
    counts = { ...counts, receivedMessages: counts.receivedMessages + 1 };
    const nowMs = clock.readMonotonic();
    const knownStatus = state.members.get(sender.daemonId)?.member.status;
    stream.updateProgress({
      heardMs: nowMs, remote: sender, remoteConfigOffset: message.configOffset,
    });
    const stated = MembershipState.applyStatements(state, message, nowMs);
    // Only the opener of a stream reports; an answer carries no report that could replace one.
    setState(stream.address === undefined ? MembershipState.applyReport(stated, message) : stated);
    if (stream.address === undefined && sender.dataCentre === self.dataCentre) {
      const { daemonId, incarnation } = sender;
      parts.forEach(({ onReport }, name) => {
        const bytes = message.parts[name];
        if (bytes !== undefined) onReport?.({ daemonId, incarnation }, bytes);
      });
    }
    applyConfig(message);
    applyContact(stream, message);
    if (remote === undefined) {
      // A new stream of the same peer replaces one that may have gone silent.
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

  const createHandlers = (getStream: () => Stream | undefined): PeerLink.PeerLinkHandlers => ({
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
    let stream: Stream | undefined;
    const link = transport.open(address, createHandlers(() => stream));
    stream = createStream(link, address, clock.readMonotonic());
    streams.add(stream);
    sendMessage(stream);
  };

  const closeSilent = (nowMs: Core.Millis): void => {
    [...streams].forEach((stream) => {
      const { heardMs, remote } = stream.getProgress();
      const bounds = stream.address === undefined ? ACCEPTED_BOUNDS : 1;
      if (nowMs - heardMs <= timing.suspectMs * bounds) return;
      logger?.info({ peer: remote?.daemonId ?? stream.address }, 'silent stream closed');
      removeStream(stream);
    });
  };

  const undoStore = store.registerListener(() => {
    [...streams].filter(({ address, getProgress }) => (
      address === undefined && getProgress().remote !== undefined
    )).forEach(sendMessage);
  });

  return {
    acceptStream: (link) => {
      const stream = createStream(link, undefined, clock.readMonotonic());
      if (closed) link.close();
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
      undoStore();
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
    registerPayload: (name, part) => {
      parts.set(name, part);
      return () => {
        parts.delete(name);
      };
    },
    registerValue: (name, read) => {
      values.set(name, read);
      return () => {
        values.delete(name);
      };
    },
    runHeartbeat: () => {
      if (closed) return;
      const nowMs = clock.readMonotonic();
      round += 1;
      closeSilent(nowMs);
      setState(MembershipState.applyTime(state, nowMs, timing.suspectMs));
      const targets = Topology.planStreams({ round, seeds: getSeeds(), state });
      const wanted = new Set(targets.map(({ address }) => address));
      [...streams]
        .filter(({ address }) => address !== undefined && !wanted.has(address))
        .forEach(removeStream);
      const open = new Set([...streams].map(({ address }) => address));
      [...streams].filter(({ address }) => address !== undefined).forEach(sendMessage);
      targets.filter(({ address }) => !open.has(address))
        .forEach(({ address }) => openStream(address));
    },
  };
}
