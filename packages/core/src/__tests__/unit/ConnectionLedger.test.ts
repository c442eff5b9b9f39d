import { describe, expect, test } from 'vitest';
import * as Core from '../../index.js';

const KIB = 1_024;

function createLedger(maxBytes = 100 * KIB, maxConnections = 100): Core.ConnectionLedger<string> {
  return Core.createConnectionLedger({ maxBytes, maxConnections });
}

/** Opens a connection with a request whose body of `bytes` is incomplete. */
function openBody(
  ledger: Core.ConnectionLedger<string>,
  name: string,
  bytes: number,
  nowMs: number,
): void {
  ledger.open(name, nowMs);
  ledger.setState(name, { hasRequest: true, isClientDue: true }, nowMs);
  ledger.setHeld(name, 'body', bytes);
}

function openCrowd(ledger: Core.ConnectionLedger<string>, count: number, bytes: number): void {
  Array.from({ length: count }, (_, index) => openBody(ledger, `crowd-${index}`, bytes, 0));
}

describe('bytes of all connections', () => {
  // Guards against memory that grows with the number of callers who stop within their bodies.
  test('a crowd of unfinished bodies is ended until it is well below the limit', () => {
    const ledger = createLedger();
    openCrowd(ledger, 20, 10 * KIB);
    const named = ledger.listExcess(5_000);
    named.forEach(ledger.close);
    expect(ledger.getTotals().bytes).toBeLessThanOrEqual(75 * KIB);
    expect(ledger.getTotals().connections).toBe(20 - named.length);
    expect(ledger.listExcess(5_000)).toEqual([]);
  });

  // Guards against a limit that ends the callers it should protect.
  test('a caller that holds little and makes progress stays beside stalled bodies', () => {
    const ledger = createLedger();
    openCrowd(ledger, 20, 10 * KIB);
    openBody(ledger, 'ordinary', 8 * KIB, 4_990);
    expect(ledger.listExcess(5_000)).not.toContain('ordinary');
  });

  test('a request that waits for its server stays beside bodies that trickle', () => {
    const ledger = createLedger();
    openCrowd(ledger, 20, 10 * KIB);
    openBody(ledger, 'ordinary', 30 * KIB, 0);
    ledger.setState('ordinary', { hasRequest: true, isClientDue: false }, 0);
    Array.from({ length: 20 }, (_, index) => ledger.recordProgress(`crowd-${index}`, 4_500));
    expect(ledger.listExcess(5_000)).not.toContain('ordinary');
  });

  test('a burst without any time between its bytes ends the largest first', () => {
    const ledger = createLedger();
    openBody(ledger, 'large', 90 * KIB, 0);
    openBody(ledger, 'small', 20 * KIB, 0);
    expect(ledger.listExcess(0)).toEqual(['large']);
  });

  test('parts of a connection add up and are released together', () => {
    const ledger = createLedger();
    ledger.open('a', 0);
    Core.HELD_PARTS.forEach((part) => ledger.setHeld('a', part, KIB));
    ledger.setHeld('a', 'answer', 2 * KIB);
    expect(ledger.getTotals()).toEqual({ bytes: 5 * KIB, connections: 1 });
    ledger.close('a');
    ledger.close('a');
    ledger.setHeld('a', 'answer', KIB);
    expect(ledger.getTotals()).toEqual({ bytes: 0, connections: 0 });
  });
});

describe('new bodies', () => {
  // Guards against bodies begun one after another while callers that make progress hold all bytes.
  test('a ledger that is full of bodies in progress has no room for another one', () => {
    const ledger = createLedger();
    openCrowd(ledger, 9, 10 * KIB);
    expect(ledger.isFull()).toBe(true);
    expect(ledger.listStalled(900)).toEqual([]);
  });

  test('stalled bodies give way to a new one', () => {
    const ledger = createLedger();
    openCrowd(ledger, 9, 10 * KIB);
    ledger.recordProgress('crowd-0', 1_900);
    const named = ledger.listStalled(2_000);
    expect(named).toHaveLength(2);
    expect(named).not.toContain('crowd-0');
    named.forEach(ledger.close);
    expect(ledger.isFull()).toBe(false);
  });
});

describe('number of connections', () => {
  // Guards against clients that keep connections open until no other one can be accepted.
  test('a crowd of idle connections gives way to new ones, the longest idle first', () => {
    const ledger = createLedger(KIB, 10);
    Array.from({ length: 10 }, (_, index) => ledger.open(`idle-${index}`, index));
    ledger.recordProgress('idle-0', 500);
    ledger.open('new', 2_000);
    expect(ledger.listExcess(2_000)).toEqual(['idle-1']);
  });

  test('a crowd that sends a byte a second gives way to a new connection', () => {
    const ledger = createLedger(KIB, 10);
    Array.from({ length: 10 }, (_, index) => openBody(ledger, `slow-${index}`, 0, index));
    ledger.open('new', 900);
    expect(ledger.listExcess(900)).toEqual(['slow-0']);
  });

  test('a request that waits for its server stays while others wait for their client', () => {
    const ledger = createLedger(KIB, 2);
    openBody(ledger, 'served', 0, 0);
    ledger.setState('served', { hasRequest: true, isClientDue: false }, 0);
    openBody(ledger, 'slow', 0, 4_000);
    ledger.open('new', 5_000);
    expect(ledger.listExcess(5_000)).toEqual(['slow']);
  });

  test('new limits apply to connections that are open', () => {
    const ledger = createLedger(KIB, 10);
    Array.from({ length: 10 }, (_, index) => ledger.open(`idle-${index}`, index));
    ledger.setLimits({ maxBytes: KIB, maxConnections: 4 });
    expect(ledger.listExcess(1_000)).toHaveLength(6);
  });
});
