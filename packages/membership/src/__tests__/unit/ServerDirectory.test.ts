import * as Core from '@berylyoke/core';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as fc from 'fast-check';
import * as Vitest from 'vitest';
import * as Membership from '../../index.js';

const {
  describe, expect, test, vi,
} = Vitest;

const BOUNDS = Membership.DEFAULT_BOUNDS;

function buildVm(id: string, change: Partial<Membership.Vm> = {}): Membership.Vm {
  return {
    address: `${id}:1`,
    dataCentre: 'dc',
    id,
    kind: 'cheap',
    models: ['m'],
    priceCents: 5,
    role: 'engine',
    service: undefined,
    state: 'live',
    ...change,
  };
}

interface TestDirectory {
  readonly clock: Core.ManualClock;
  readonly directory: Membership.ServerDirectory;
  readonly list: (...vms: readonly Membership.Vm[]) => void;
  readonly getState: (id: string) => string | undefined;
}

function createDirectory(): TestDirectory {
  const clock = Core.createManualClock();
  const port = { read: () => Effect.succeed([]) };
  const directory = Membership.createServerDirectory({ clock, port });
  return {
    clock,
    directory,
    getState: (id) => directory.getSnapshot().servers.find((server) => server.id === id)?.state,
    list: (...vms) => directory.applyEvent({ _tag: 'listed', vms }),
  };
}

describe('the directory of backend servers', () => {
  test('any of the three signals stops new work at once', () => {
    const { directory, getState, list } = createDirectory();
    list(buildVm('a'), buildVm('b'), buildVm('c'), buildVm('d'));
    list(buildVm('a', { state: 'leaving' }), buildVm('b'), buildVm('c'), buildVm('d'));
    directory.applyEvent({ _tag: 'noticed', id: 'b' });
    Array.from({ length: BOUNDS.failureCount }).forEach(() => {
      directory.applyEvent({ _tag: 'failed', id: 'c' });
    });
    expect(['a', 'b', 'c', 'd'].map(getState)).toEqual(['leaving', 'leaving', 'missing', 'live']);
  });

  // Guards against a lagging list that calls a server live after its notice.
  test('a notice outlasts lists that still call the server live', () => {
    const {
      clock, directory, getState, list,
    } = createDirectory();
    list(buildVm('a'));
    directory.applyEvent({ _tag: 'noticed', id: 'a' });
    list(buildVm('a'));
    expect(getState('a')).toBe('leaving');
    clock.advance(BOUNDS.reviveMs + 1);
    list(buildVm('a'));
    expect(getState('a')).toBe('live');
  });

  test('a server missing from one list stays, and is forgotten in the end', () => {
    const { clock, getState, list } = createDirectory();
    list(buildVm('a'), buildVm('b'));
    list(buildVm('b'));
    expect(getState('a')).toBe('live');
    list(buildVm('b'));
    expect(getState('a')).toBe('missing');
    clock.advance(BOUNDS.forgetMs + 1);
    list(buildVm('b'));
    expect(getState('a')).toBeUndefined();
  });

  test('a list without any server changes nothing', () => {
    const { getState, list } = createDirectory();
    list(buildVm('a'));
    list();
    list();
    expect(getState('a')).toBe('live');
  });

  test('a failed server is tried again, and a success forgets its failures', () => {
    const {
      clock, directory, getState, list,
    } = createDirectory();
    list(buildVm('a'));
    Array.from({ length: BOUNDS.failureCount }).forEach(() => {
      directory.applyEvent({ _tag: 'failed', id: 'a' });
    });
    clock.advance(BOUNDS.retryMs);
    list(buildVm('a'));
    expect(getState('a')).toBe('live');
    directory.applyEvent({ _tag: 'failed', id: 'a' });
    expect(getState('a')).toBe('missing');
    directory.applyEvent({ _tag: 'succeeded', id: 'a' });
    expect(getState('a')).toBe('live');
  });

  test('a snapshot stays as it was, and listeners hear of changes only', () => {
    const { directory, list } = createDirectory();
    const listener = vi.fn();
    const undo = directory.registerListener(listener);
    list(buildVm('a'), buildVm('e', { role: 'entry' }));
    const before = directory.getSnapshot();
    list(buildVm('a'), buildVm('e', { role: 'entry' }));
    list(buildVm('a', { state: 'leaving' }));
    undo();
    list(buildVm('b'));
    expect(listener).toHaveBeenCalledTimes(2);
    expect(before.servers.map(({ state }) => state)).toEqual(['live']);
    expect(before.entryAddresses).toEqual(['e:1']);
  });

  test('no list or success of a lagging platform gives work to a server within the bound', () => {
    const anyEvent = fc.oneof(
      fc.constant<Membership.DirectoryEvent>({ _tag: 'listed', vms: [buildVm('a')] }),
      fc.constant<Membership.DirectoryEvent>({ _tag: 'listed', vms: [buildVm('b')] }),
      fc.constant<Membership.DirectoryEvent>({ _tag: 'succeeded', id: 'a' }),
      fc.constant<Membership.DirectoryEvent>({ _tag: 'failed', id: 'a' }),
    );
    const signals: readonly Membership.DirectoryEvent[] = [
      { _tag: 'noticed', id: 'a' },
      { _tag: 'listed', vms: [buildVm('a', { state: 'leaving' })] },
    ];
    fc.assert(fc.property(fc.constantFrom(...signals), fc.array(anyEvent), (signal, events) => {
      const {
        clock, directory, getState, list,
      } = createDirectory();
      list(buildVm('a'));
      directory.applyEvent(signal);
      events.forEach((event) => {
        clock.advance(100);
        directory.applyEvent(event);
        expect(getState('a')).not.toBe('live');
      });
    }), { numRuns: 300, seed: 20_261_204 });
  });
});

describe('the VM list over HTTP', () => {
  test('is read into the directory, and a refusal keeps what is known', async () => {
    const fake = await Testkit.startFakeVmList({
      entries: [
        { ...buildVm('a'), models: ['m'], service: '' },
        { ...buildVm('e', { role: 'entry' }), models: [], service: '' },
      ],
    });
    const failures: string[] = [];
    const directory = Membership.createServerDirectory({
      clock: Core.systemClock,
      onFailure: ({ reason }) => failures.push(reason),
      port: Membership.createHttpVmList(fake.url, 2_000),
    });
    await Effect.runPromise(directory.poll());
    fake.faults.set([{
      count: 1, delayMs: 0, kind: 'refusal', operation: 'list',
    }]);
    await Effect.runPromise(directory.poll());
    await fake.close();
    await Effect.runPromise(directory.poll());
    expect(failures).toEqual(['status', 'unavailable']);
    expect(directory.getSnapshot().servers.map(({ id, state }) => [id, state]))
      .toEqual([['a', 'live']]);
  });
});
