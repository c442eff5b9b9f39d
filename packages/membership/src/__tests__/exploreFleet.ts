/**
 * Counts the streams, messages and bytes of a whole fleet that has settled:
 * `npm run explore:fleet -- --daemons 2600 --data-centres 32 --regions 10 --intervals 40`.
 * Bytes are those of the encoded messages, without the framing of HTTP/2.
 */
import * as util from 'node:util';
import * as protobuf from '@bufbuild/protobuf';
import * as Peer from '../gen/berylyoke/peer/v1/peer_pb.js';
import type * as Membership from '../index.js';
import * as FakeFleet from './support/FakeFleet.js';

const { values } = util.parseArgs({
  options: {
    daemons: { default: '2600', type: 'string' },
    'data-centres': { default: '32', type: 'string' },
    intervals: { default: '40', type: 'string' },
    regions: { default: '10', type: 'string' },
  },
});
const daemonCount = Number(values.daemons);
const dataCentreCount = Number(values['data-centres']);
const regionCount = Number(values.regions);
const intervals = Number(values.intervals);

/** Intervals at the end over which messages and bytes are counted. */
const COUNTED = 16;

interface Cost {
  readonly sentMessages: number;
  readonly sentBytes: number;
}

function measureBytes(message: Membership.PeerMessage): number {
  return protobuf.toBinary(Peer.PeerMessageSchema, protobuf.create(Peer.PeerMessageSchema, {
    acknowledged: message.acknowledged,
    configOffset: message.configOffset,
    contact: message.contact,
    dataCentres: message.dataCentres.map((summary) => ({
      ...summary, addresses: [...summary.addresses], dataCentres: [...summary.dataCentres],
    })),
    members: [...message.members],
    regions: message.regions.map((summary) => ({
      ...summary, addresses: [...summary.addresses], dataCentres: [...summary.dataCentres],
    })),
    sender: message.sender,
  })).length;
}

const costs = new Map<string, Cost>();
let counting = false;

const dataCentreOf = (i: number): number => i % dataCentreCount;
const names = Array.from({ length: daemonCount }, (_, i) => (
  `vm-${dataCentreOf(i)}-${Math.floor(i / dataCentreCount)}`
));
// The first two daemons of each data centre are known beforehand.
const seeds = names.slice(0, dataCentreCount * 2).map((name) => `${name}:1`);

const fleet = FakeFleet.createFakeFleet(seeds, {
  getDataCentre: (address) => `dc-${address.split('-')[1]}`,
  onSend: (message, daemonId) => {
    if (!counting) return;
    const cost = costs.get(daemonId) ?? { sentBytes: 0, sentMessages: 0 };
    costs.set(daemonId, {
      sentBytes: cost.sentBytes + measureBytes(message), sentMessages: cost.sentMessages + 1,
    });
  },
});
names.forEach((name, i) => {
  const dataCentre = dataCentreOf(i);
  fleet.start(name, `dc-${dataCentre}`, `region-${dataCentre % regionCount}`);
});

fleet.run(intervals);
counting = true;
fleet.run(COUNTED);

const rows = [...fleet.daemons.values()].map(({ id, membership }) => {
  const { acceptedStreams, openedStreams } = membership.getCounts();
  const view = membership.getView();
  const cost = costs.get(id) ?? { sentBytes: 0, sentMessages: 0 };
  return {
    acceptedStreams,
    isRelay: view.isRelay,
    live: view.localMembers.filter(({ status }) => status === 1).length,
    openedStreams,
    sentBytes: cost.sentBytes / COUNTED,
    sentMessages: cost.sentMessages / COUNTED,
    sum: view.regions.reduce((sum, { live }) => sum + live, 0),
    total: acceptedStreams + openedStreams,
  };
});

function describe(isRelay: boolean): unknown {
  const chosen = rows.filter((row) => row.isRelay === isRelay);
  type Key = 'acceptedStreams' | 'openedStreams' | 'sentBytes' | 'sentMessages' | 'total';
  const max = (key: Key): number => (
    Math.round(Math.max(0, ...chosen.map((row) => row[key])))
  );
  return {
    daemons: chosen.length,
    maxAcceptedStreams: max('acceptedStreams'),
    maxOpenedStreams: max('openedStreams'),
    maxSentBytesPerInterval: max('sentBytes'),
    maxSentMessagesPerInterval: max('sentMessages'),
    maxStreams: max('total'),
  };
}

process.stdout.write(`${JSON.stringify({
  dataCentres: dataCentreCount,
  members: describe(false),
  regions: regionCount,
  relays: describe(true),
  sums: [Math.min(...rows.map(({ sum }) => sum)), Math.max(...rows.map(({ sum }) => sum))],
}, undefined, 2)}\n`);
