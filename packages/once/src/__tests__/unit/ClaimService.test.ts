import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as Vitest from 'vitest';
import type * as ClaimKey from '../../ClaimKey.js';
import * as ClaimLimits from '../../ClaimLimits.js';
import * as ClaimRefusals from '../../ClaimRefusals.js';
import * as ClaimService from '../../ClaimService.js';

const {
  afterEach, beforeEach, describe, expect, test,
} = Vitest;

const MANY = 100_000;
const limits: ClaimLimits.ClaimLimits = {
  ...ClaimLimits.DEFAULT_CLAIM_LIMITS, holderWaitMs: 300, shards: 2,
};
const answer = {
  body: Buffer.from('done'), headers: { 'content-type': 'text/plain' }, status: 201,
};

function buildCall(key: string, body = 'one fan'): ClaimKey.KeyedCall {
  return {
    account: 'shop',
    body: Buffer.from(body),
    idempotencyKey: key,
    parameters: 'POST',
    route: '/orders',
  };
}

describe('the claim service against the fake log', () => {
  let fake: Testkit.FakeLog;
  let closes: (() => void)[];

  const startService = async (
    daemonId: string,
    overrides: Partial<ClaimLimits.ClaimLimits> = {},
    isGone: (writer: Core.Writer) => boolean = () => false,
  ): Promise<ClaimService.ClaimService> => {
    const writer = { daemonId, incarnation: Core.createIncarnation(Core.systemClock) };
    const log = Log.createLogClient(Log.createHttpLog(fake.url), writer, Core.systemClock);
    const service = ClaimService.createClaimService({
      clock: Core.systemClock, isGone, limits: { ...limits, ...overrides }, log,
    });
    closes.push(() => {
      service.close();
      log.close();
    });
    await Vitest.vi.waitUntil(() => [0, 1].every((shard) => (
      log.getStatus(Log.getOnceStream(shard)).caughtUp
    )), { interval: 5, timeout: 10_000 });
    return service;
  };

  const claim = (service: ClaimService.ClaimService, call: ClaimKey.KeyedCall) => (
    Effect.runPromise(Effect.merge(service.claim(call)))
  );

  const claimPermit = async (
    service: ClaimService.ClaimService,
    call: ClaimKey.KeyedCall,
  ): Promise<ClaimService.SendPermit> => {
    const result = await claim(service, call);
    Core.invariant(result._tag === 'Permit', 'The claim was expected to win.');
    return result;
  };

  const setOutage = (): void => fake.faults.set(['append', 'read'].map((operation) => ({
    count: MANY, delayMs: 0, kind: 'refusal' as const, operation,
  })));

  beforeEach(async () => {
    fake = await Testkit.startFakeLog();
    closes = [];
  });

  afterEach(async () => {
    closes.forEach((close) => close());
    await fake.close();
  });

  test('permits one of many attempts over two daemons and replays its answer', async () => {
    const services = [await startService('d1'), await startService('d2')];
    const attempts = await Promise.all(Array.from({ length: 20 }, (_, index) => (
      claim(services[index % 2] as ClaimService.ClaimService, buildCall('k1'))
    )));
    const winners = attempts.filter((found) => found._tag === 'Permit');
    expect(winners).toHaveLength(1);
    expect(attempts.filter((found) => found._tag === 'ClaimRefusal' && found.status === 409))
      .toHaveLength(19);
    const permit = winners[0] as ClaimService.SendPermit;
    expect(permit.requestSend()).toBe(true);
    expect(await Effect.runPromise(permit.finish(answer))).toBe(true);
    const repeats = await Promise.all(services.map((service) => claim(service, buildCall('k1'))));
    expect(repeats).toEqual(services.map(() => ({ _tag: 'Replay', ...answer })));
  });

  test('lets a repeat wait for the result of the running call', async () => {
    const service = await startService('d1', { holderWaitMs: 30_000 });
    const permit = await claimPermit(service, buildCall('k1'));
    permit.requestSend();
    const repeat = claim(service, buildCall('k1'));
    await Effect.runPromise(permit.finish(answer));
    expect(await repeat).toMatchObject({ _tag: 'Replay', status: 201 });
  });

  test('refuses another body under the same key, not the key of another account', async () => {
    const service = await startService('d1');
    await claimPermit(service, buildCall('k1'));
    expect(await claim(service, buildCall('k1', 'two fans'))).toMatchObject({
      notRun: true, reason: 'body-differs', status: 422,
    });
    expect(await claim(service, { ...buildCall('k1'), parameters: 'POST ?express=1' }))
      .toMatchObject({ reason: 'body-differs' });
    await claimPermit(service, { ...buildCall('k1'), account: 'other' });
  });

  test('never runs a claim that appears after its read-back timed out', async () => {
    const service = await startService('d1', { readBackMs: 100 });
    fake.faults.set([{
      count: 1, delayMs: 500, kind: 'delay', operation: 'append',
    }]);
    expect(await claim(service, buildCall('k1'))).toMatchObject({
      notRun: true, reason: 'not-read-back', retryAfterMs: 2_000, status: 503,
    });
    const countClaims = (): number => [0, 1].flatMap((shard) => (
      fake.listEntries(Log.getOnceStream(shard)).flatMap(({ records }) => records)
    )).filter(({ kind }) => kind === 'once.claim').length;
    await Vitest.vi.waitUntil(() => countClaims() === 1, { interval: 5, timeout: 10_000 });
    expect(await Effect.runPromise(service.drain(10_000))).toBe(true);
    // The release frees the key again, whether it came before or after the late claim.
    const other = await startService('d2');
    const permit = await claimPermit(other, buildCall('k1'));
    expect(permit.requestSend()).toBe(true);
    expect(service.getCounts().permits).toBe(0);
  });

  test('releases the claim of a caller that disconnects before the read-back', async () => {
    const service = await startService('d1');
    fake.faults.set([{
      count: 1, delayMs: 300, kind: 'delay', operation: 'append',
    }]);
    const abort = new AbortController();
    const attempt = Effect.runPromise(service.claim(buildCall('k1')), { signal: abort.signal });
    setImmediate(() => abort.abort());
    await expect(attempt).rejects.toThrow();
    expect(await Effect.runPromise(service.drain(10_000))).toBe(true);
    const other = await startService('d2', { holderWaitMs: 10_000 });
    expect((await claimPermit(other, buildCall('k1'))).requestSend()).toBe(true);
  });

  test('refuses new keys as not run in a log outage, and still replays answers', async () => {
    const service = await startService('d1', { contactMs: 1_500 });
    const permit = await claimPermit(service, buildCall('k1'));
    permit.requestSend();
    await Effect.runPromise(permit.finish(answer));
    setOutage();
    await Vitest.vi.waitUntil(async () => {
      const found = await claim(service, buildCall('k2'));
      return found._tag === 'ClaimRefusal' && found.reason === 'log-unavailable'
        && found.notRun && found.retryAfterMs !== undefined;
    }, { interval: 50, timeout: 20_000 });
    expect(await claim(service, buildCall('k1'))).toMatchObject({ _tag: 'Replay', status: 201 });
  });

  test('refuses as behind before the shard was read', async () => {
    setOutage();
    const writer = { daemonId: 'd1', incarnation: '1-a' };
    const log = Log.createLogClient(Log.createHttpLog(fake.url), writer, Core.systemClock);
    const service = ClaimService.createClaimService({
      clock: Core.systemClock, isGone: () => false, limits, log,
    });
    closes.push(service.close, log.close);
    expect(await claim(service, buildCall('k1'))).toMatchObject({
      notRun: true, reason: 'log-unavailable',
    });
  });

  test('answers a repeat as unknown when the winner is gone without a result', async () => {
    const gone = new Set<string>();
    const crashed = await startService('d1');
    const service = await startService('d2', {}, ({ daemonId }) => gone.has(daemonId));
    const permit = await claimPermit(crashed, buildCall('k1'));
    permit.requestSend();
    expect(await claim(service, buildCall('k1'))).toMatchObject({ reason: 'held', status: 409 });
    gone.add('d1');
    expect(await claim(service, buildCall('k1'))).toMatchObject({
      notRun: false, reason: 'unknown',
    });
    const restarted = await startService('d1');
    expect(await claim(restarted, buildCall('k1'))).toMatchObject({ reason: 'unknown' });
  });

  test('gives the answer without its record when the log is too slow', async () => {
    const service = await startService('d1', { resultWaitMs: 100 });
    const permit = await claimPermit(service, buildCall('k1'));
    permit.requestSend();
    fake.faults.set([{
      count: 1, delayMs: 1_000, kind: 'delay', operation: 'append',
    }]);
    expect(await Effect.runPromise(permit.finish(answer))).toBe(false);
    expect(await Effect.runPromise(service.drain(10_000))).toBe(true);
    expect(await claim(service, buildCall('k1'))).toMatchObject({ _tag: 'Replay' });
  });

  test('sends nothing after the release or after the time to send', async () => {
    const clock = Core.createManualClock(performance.now());
    const writer = { daemonId: 'd1', incarnation: '1-a' };
    const log = Log.createLogClient(Log.createHttpLog(fake.url), writer, Core.systemClock);
    const service = ClaimService.createClaimService({
      clock, isGone: () => false, limits: { ...limits, contactMs: MANY * MANY }, log,
    });
    closes.push(service.close, log.close);
    await Vitest.vi.waitUntil(() => [0, 1].every((shard) => (
      log.getStatus(Log.getOnceStream(shard)).caughtUp
    )), { interval: 5, timeout: 10_000 });
    const released = await claimPermit(service, buildCall('k1'));
    released.release();
    expect(released.requestSend()).toBe(false);
    const late = await claimPermit(service, buildCall('k2'));
    clock.advance(limits.sendWithinMs + 1);
    expect(late.requestSend()).toBe(false);
    expect(await Effect.runPromise(service.drain(10_000))).toBe(true);
    await claimPermit(service, buildCall('k2'));
  });
});

describe('buildStoredAnswer', () => {
  test('keeps no body above the bound and no header outside the list', () => {
    const stored = ClaimService.buildStoredAnswer({
      body: Buffer.alloc(11),
      headers: { Location: '/orders/1', 'set-cookie': 'secret' },
      status: 201,
    }, 10);
    expect(stored).toEqual({
      _tag: 'StoredAnswer', body: null, headers: { Location: '/orders/1' }, status: 201,
    });
  });
});

describe('createClaimRefusal', () => {
  test('says not run only where no attempt of the key is known to be sent', () => {
    const reasons = ['held', 'unknown', 'answer-not-kept'] as const;
    expect(reasons.map((reason) => ClaimRefusals.createClaimRefusal(reason).notRun))
      .toEqual([false, false, false]);
  });
});
