import * as Core from '@berylyoke/core';
import * as Testkit from '@berylyoke/testkit';
import * as Effect from 'effect/Effect';
import * as http from 'node:http';
import type * as net from 'node:net';
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
  readonly applyList: (...vms: readonly Membership.Vm[]) => void;
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
    applyList: (...vms) => directory.applyEvent({ _tag: 'listed', vms }),
  };
}

describe('the directory of backend servers', () => {
  test('a list that says leaving, a notice or repeated failures stop new work at once', () => {
    const { directory, getState, applyList } = createDirectory();
    applyList(buildVm('a'), buildVm('b'), buildVm('c'), buildVm('d'));
    applyList(buildVm('a', { state: 'leaving' }), buildVm('b'), buildVm('c'), buildVm('d'));
    directory.applyEvent({ _tag: 'noticed', id: 'b' });
    Array.from({ length: BOUNDS.failureCount }).forEach(() => {
      directory.applyEvent({ _tag: 'failed', id: 'c' });
    });
    expect(['a', 'b', 'c', 'd'].map(getState)).toEqual(['leaving', 'leaving', 'missing', 'live']);
  });

  // Guards against new work for a leaving server when a stale list still reports it as live.
  test('a leaving notice overrides lists that still report the server as live', () => {
    const {
      clock, directory, getState, applyList,
    } = createDirectory();
    applyList(buildVm('a'));
    directory.applyEvent({ _tag: 'noticed', id: 'a' });
    applyList(buildVm('a'));
    expect(getState('a')).toBe('leaving');
    clock.advance(BOUNDS.staleListMs + 1);
    applyList(buildVm('a'));
    expect(getState('a')).toBe('live');
  });

  test('a server is missing after two lists without it and is removed after forgetAfterMs', () => {
    const { clock, getState, applyList } = createDirectory();
    applyList(buildVm('a'), buildVm('b'));
    applyList(buildVm('b'));
    expect(getState('a')).toBe('live');
    applyList(buildVm('b'));
    expect(getState('a')).toBe('missing');
    clock.advance(BOUNDS.forgetAfterMs + 1);
    applyList(buildVm('b'));
    expect(getState('a')).toBeUndefined();
  });

  test('a list without any server changes nothing', () => {
    const { getState, applyList } = createDirectory();
    applyList(buildVm('a'));
    applyList();
    applyList();
    expect(getState('a')).toBe('live');
  });

  test('a failed server is retried, and a success resets its failures', () => {
    const {
      clock, directory, getState, applyList,
    } = createDirectory();
    applyList(buildVm('a'));
    Array.from({ length: BOUNDS.failureCount }).forEach(() => {
      directory.applyEvent({ _tag: 'failed', id: 'a' });
    });
    clock.advance(BOUNDS.retryAfterMs);
    applyList(buildVm('a'));
    expect(getState('a')).toBe('live');
    directory.applyEvent({ _tag: 'failed', id: 'a' });
    expect(getState('a')).toBe('missing');
    directory.applyEvent({ _tag: 'succeeded', id: 'a' });
    expect(getState('a')).toBe('live');
  });

  test('snapshots are immutable, and listeners are called for changes only', () => {
    const { directory, applyList } = createDirectory();
    const listener = vi.fn();
    const undo = directory.registerListener(listener);
    applyList(buildVm('a'), buildVm('e', { role: 'entry' }));
    const before = directory.getSnapshot();
    applyList(buildVm('a'), buildVm('e', { role: 'entry' }));
    applyList(buildVm('a', { state: 'leaving' }));
    undo();
    applyList(buildVm('b'));
    expect(listener).toHaveBeenCalledTimes(2);
    expect(before.servers.map(({ state }) => state)).toEqual(['live']);
    expect(before.entries).toEqual([{ address: 'e:1', dataCentre: 'dc' }]);
  });

  test('a leaving server is not live before staleListMs, whatever events follow', () => {
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
        clock, directory, getState, applyList,
      } = createDirectory();
      applyList(buildVm('a'));
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
  test('fills the directory, and a failed read keeps the known servers', async () => {
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

  // Guards against one odd entry of another writer that hides all VMs of the list.
  test('VMs beside entries that cannot be used are listed', async () => {
    const sound = {
      address: '10.0.0.1:80',
      dataCentre: 'a',
      id: 'sound',
      kind: 'dear',
      role: 'engine',
      state: 'live',
    };
    const server = http.createServer((_, response) => response.end(JSON.stringify([
      sound,
      { ...sound, address: '10.0.0.1:65536' },
      { ...sound, address: '10.0.0.1:0' },
      { ...sound, address: 'somewhere' },
      { ...sound, state: undefined },
      { ...sound, priceCents: -1 },
      [[]],
      null,
    ])));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const ignored: number[] = [];
    const vms = await Effect.runPromise(Membership.createHttpVmList(
      `http://127.0.0.1:${port}`,
      2_000,
      (count) => ignored.push(count),
    ).read());
    server.close();
    expect(vms.map(({ id }) => id)).toEqual(['sound']);
    expect(ignored).toEqual([7]);
  });
});
