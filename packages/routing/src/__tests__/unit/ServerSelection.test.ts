import * as Core from '@berylyoke/core';
import { describe, expect, test } from 'vitest';
import * as Routing from '../../index.js';
import * as RequestLimits from '../../RequestLimits.js';
import * as ServerSelection from '../../ServerSelection.js';

function createContext(serverIds: readonly string[]): Parameters<
  typeof ServerSelection.computeRetryDelay
>[0] {
  const servers = Routing.createServerTable();
  serverIds.forEach((id) => servers.applyEntry(id, {
    bornMs: 0,
    dataCentre: 'a',
    host: '127.0.0.1',
    id,
    isReclaimable: false,
    port: 1,
    service: 's',
    slots: 4,
    state: 'ready',
    version: 'v1',
  }, 0));
  return {
    availability: Routing.createServerAvailability(),
    clock: { ...Core.systemClock, readMonotonic: () => 0 },
    coldLimits: Routing.createColdLimits({ getShare: () => 1, random: () => 0 }),
    getActiveConfig: () => undefined,
    requestLimits: RequestLimits.createRequestLimits({ getShare: () => 1, random: () => 0 }),
    servers,
  };
}

describe('the delay after which a service accepts requests', () => {
  const limitServer = (context: ReturnType<typeof createContext>, id: string): void => {
    const notice = { _tag: 'Limited', requestsPerS: 2 } as const;
    context.requestLimits.observeResponse({ bornMs: 0, id }, notice, 0, 0);
  };
  const pauseServer = (
    { availability }: ReturnType<typeof createContext>,
    id: string,
    pauseMs: number | undefined,
  ): void => availability.observeResponse(
    { bornMs: 0, id },
    { isLeaving: pauseMs === undefined, pauseMs },
    0,
  );

  test('is 0 without servers, and if one of them accepts requests', () => {
    expect(ServerSelection.computeRetryDelay(createContext([]), 's')).toBe(0);
    const context = createContext(['i-1', 'i-2']);
    pauseServer(context, 'i-1', 50);
    expect(ServerSelection.computeRetryDelay(context, 's')).toBe(0);
  });

  test('ignores servers that are shutting down', () => {
    const context = createContext(['i-1', 'i-2']);
    pauseServer(context, 'i-1', undefined);
    pauseServer(context, 'i-2', 50);
    expect(ServerSelection.computeRetryDelay(context, 's')).toBe(50);
    pauseServer(context, 'i-2', undefined);
    expect(ServerSelection.computeRetryDelay(context, 's')).toBe(0);
  });

  // Guards against callers that are told to return at once while every server is limited.
  test('is the first time at which a limited or paused server accepts a request', () => {
    const context = createContext(['i-1', 'i-2']);
    limitServer(context, 'i-1');
    limitServer(context, 'i-2');
    pauseServer(context, 'i-2', 700);
    expect(ServerSelection.computeRetryDelay(context, 's')).toBe(500);
    pauseServer(context, 'i-1', 900);
    expect(ServerSelection.computeRetryDelay(context, 's')).toBe(700);
  });
});
