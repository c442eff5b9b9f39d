import type * as Duties from '@berylyoke/duties';
import * as Testkit from '@berylyoke/testkit';
import * as Vitest from 'vitest';

const { describe, expect, test } = Vitest;

interface Status {
  readonly daemonId: string;
  readonly duties: { readonly leases: readonly Duties.LeaseStatus[] };
}

async function readLeases(operator: string): Promise<Readonly<Record<string, Duties.LeaseStatus>>> {
  const { text } = await Testkit.requestText(`${operator}/operator/status`);
  const { duties } = JSON.parse(text) as Status;
  return Object.fromEntries(duties.leases.map((status) => [status.lease, status]));
}

describe('duty leases of two daemons', () => {
  test('have one status on both daemons, and move to the other on a planned stop', async () => {
    const system = await Testkit.startDemoSystem({ engineCount: 1, port: 0 });
    const readLeasesOfAll = () => Promise.all(system.operators.map(readLeases));
    await Vitest.vi.waitFor(async () => {
      const [first, second] = await readLeasesOfAll();
      expect(first?.snapshots?.holder).toBeDefined();
      expect(first?.snapshots?.holder).toEqual(second?.snapshots?.holder);
      expect(first?.snapshots?.fence).toBe(second?.snapshots?.fence);
    }, { interval: 50, timeout: 40_000 });
    // The demo has no ordering interface, so no daemon may hold the lease `ordering`: it could not
    // carry out the duty.
    const [leases] = await readLeasesOfAll();
    expect(leases?.ordering).toMatchObject({ isHeldHere: false });
    expect(leases?.ordering?.holder).toBeUndefined();
    const holder = leases?.snapshots?.holder?.daemonId === 'entry-1' ? 0 : 1;
    const fence = leases?.snapshots?.fence ?? 0;
    expect(await system.daemons[holder]?.stop()).toBe(0);
    await Vitest.vi.waitFor(async () => {
      const after = await readLeases(system.operators[1 - holder] ?? '');
      expect(after.snapshots?.isHeldHere).toBe(true);
      expect(after.snapshots?.fence).toBeGreaterThan(fence);
    }, { interval: 50, timeout: 40_000 });
    const recordKinds = system.log.listEntries('duties').flatMap(({ records }) => records)
      .map(({ kind }) => kind);
    expect(recordKinds).toContain('lease.release');
    await system.stop();
  });
});
