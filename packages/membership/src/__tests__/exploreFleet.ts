/**
 * Counts the streams, messages and bytes of a simulated fleet that has converged:
 * `npm run explore:fleet -- --daemons 2600 --data-centres 32 --regions 10 --intervals 40`.
 * Bytes are those of the encoded messages, without payloads, values, configuration updates and
 * HTTP/2 framing.
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
const settleIntervals = Number(values.intervals);

/** Number of intervals after convergence over which messages and bytes are counted. */
const COUNTED_INTERVALS = 16;

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
let isCounting = false;

const getDataCentreIndex = (i: number): number => i % dataCentreCount;
const names = Array.from({ length: daemonCount }, (_, i) => (
  `vm-${getDataCentreIndex(i)}-${Math.floor(i / dataCentreCount)}`
));
// The first two daemons of each data centre are the seeds.
const seeds = names.slice(0, dataCentreCount * 2).map((name) => `${name}:1`);

const fleet = FakeFleet.createFakeFleet(seeds, {
  getDataCentre: (address) => `dc-${address.split('-')[1]}`,
  onSend: (message, daemonId) => {
    if (!isCounting) return;
    const cost = costs.get(daemonId) ?? { sentBytes: 0, sentMessages: 0 };
    costs.set(daemonId, {
      sentBytes: cost.sentBytes + measureBytes(message), sentMessages: cost.sentMessages + 1,
    });
  },
});
names.forEach((name, i) => {
  const dataCentre = getDataCentreIndex(i);
  fleet.start(name, `dc-${dataCentre}`, `region-${dataCentre % regionCount}`);
});

fleet.run(settleIntervals);
isCounting = true;
fleet.run(COUNTED_INTERVALS);

const rows = [...fleet.daemons.values()].map(({ id, membership }) => {
  const { acceptedStreams, openedStreams } = membership.getCounts();
  const view = membership.getView();
  const cost = costs.get(id) ?? { sentBytes: 0, sentMessages: 0 };
  return {
    acceptedStreams,
    isRelay: view.isRelay,
    live: view.localMembers.filter(({ status }) => status === 1).length,
    openedStreams,
    sentBytes: cost.sentBytes / COUNTED_INTERVALS,
    sentMessages: cost.sentMessages / COUNTED_INTERVALS,
    sum: view.regions.reduce((sum, { live }) => sum + live, 0),
    total: acceptedStreams + openedStreams,
  };
});

function summarizeDaemons(isRelay: boolean): unknown {
  const selected = rows.filter((row) => row.isRelay === isRelay);
  type Key = 'acceptedStreams' | 'openedStreams' | 'sentBytes' | 'sentMessages' | 'total';
  const max = (key: Key): number => (
    Math.round(Math.max(0, ...selected.map((row) => row[key])))
  );
  return {
    daemons: selected.length,
    maxAcceptedStreams: max('acceptedStreams'),
    maxOpenedStreams: max('openedStreams'),
    maxSentBytesPerInterval: max('sentBytes'),
    maxSentMessagesPerInterval: max('sentMessages'),
    maxStreams: max('total'),
  };
}

process.stdout.write(`${JSON.stringify({
  dataCentres: dataCentreCount,
  members: summarizeDaemons(false),
  regions: regionCount,
  relays: summarizeDaemons(true),
  sums: [Math.min(...rows.map(({ sum }) => sum)), Math.max(...rows.map(({ sum }) => sum))],
}, undefined, 2)}\n`);
