import { describe, expect, it } from 'vitest';
import * as Scheduling from '../../index.js';

const TOP = { classId: 'stock', floorShare: 0.02, tier: 0 };
const LOW = { classId: 'drafts', floorShare: 0.02, tier: 3 };

function buildRequest(
  fields: Partial<Scheduling.QueueRequest<null>>,
): Scheduling.QueueRequest<null> {
  return {
    account: 'acme',
    class: TOP,
    costTokens: 100,
    latestStartMs: 10_000,
    payload: null,
    pool: 'model',
    queuedMs: 0,
    requestId: 'r',
    weight: 1,
    ...fields,
  };
}

describe('FairQueue', () => {
  it('serves the higher tier first, and a lower one only through its floor', () => {
    const queue = Scheduling.createFairQueue<null>();
    Array.from({ length: 200 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ requestId: `t${i}` }));
      queue.queueRequest(buildRequest({ class: LOW, requestId: `l${i}` }));
    });
    const tiers = Array.from({ length: 100 }, () => (
      queue.dequeueRequest('model', 1).request?.class.tier
    ));
    // A floor of 0.02 is one dispatch in 50; the class becomes due after 50 others.
    expect(tiers.filter((tier) => tier === 3)).toHaveLength(1);
  });

  it('sheds the newest request of the account that asks most, from the lowest tier', () => {
    const queue = Scheduling.createFairQueue<null>({
      ...Scheduling.defaultQueueOptions, maxRequests: 3,
    });
    queue.queueRequest(buildRequest({ class: LOW, latestStartMs: 5, requestId: 'big-1' }));
    queue.queueRequest(buildRequest({ class: LOW, latestStartMs: 6, requestId: 'big-2' }));
    queue.queueRequest(buildRequest({ account: 'small', class: LOW, requestId: 'small-1' }));
    const shed = queue.queueRequest(buildRequest({ requestId: 'top' }));
    expect(shed.map(({ request }) => request.requestId)).toEqual(['big-2']);
    const own = queue.queueRequest(buildRequest({ class: LOW, latestStartMs: 9, requestId: 'x' }));
    expect(own.map(({ request }) => request.requestId)).toEqual(['x']);
  });

  it('hands back expired requests instead of dispatching them', () => {
    const queue = Scheduling.createFairQueue<null>();
    queue.queueRequest(buildRequest({ latestStartMs: 10, requestId: 'late' }));
    queue.queueRequest(buildRequest({ latestStartMs: 30, requestId: 'good' }));
    const { expired, request } = queue.dequeueRequest('model', 20);
    expect(expired.map((shed) => shed.request.requestId)).toEqual(['late']);
    expect(request?.requestId).toBe('good');
    expect(queue.countRequests()).toBe(0);
  });

  it('does not let an account save up service while it is idle', () => {
    const queue = Scheduling.createFairQueue<null>();
    Array.from({ length: 40 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ account: 'busy', requestId: `b${i}` }));
    });
    Array.from({ length: 20 }, () => queue.dequeueRequest('model', 1));
    Array.from({ length: 20 }, (_, i) => i).forEach((i) => {
      queue.queueRequest(buildRequest({ account: 'idle', requestId: `i${i}` }));
    });
    const served = Array.from({ length: 10 }, () => (
      queue.dequeueRequest('model', 1).request?.account
    ));
    expect(served.filter((account) => account === 'busy')).toHaveLength(5);
  });
});
