/**
 * Passive health checking: judges backend servers by the outcomes of this daemon's own requests. A
 * server that fails several times in a row is ejected for a while and then gets some requests on
 * probation. Active health checks are not used, because they may report both false successes and
 * false failures.
 */
import type * as Core from '@berylyoke/core';
import * as Scheduling from '@berylyoke/scheduling';

/** Short ejections suffice, because the entry of a crashed server expires within seconds. */
export const HEALTH_OPTIONS: Scheduling.OutlierOptions = {
  ...Scheduling.defaultOutlierOptions,
  baseEjectionMs: 1_500,
  failuresToEject: 2,
  maxEjectedShare: 0.5,
  maxEjectionMs: 8_000,
  successesToReturn: 2,
};

/** Health of all servers, by service. */
export interface ServerHealth {
  readonly observeMembers: (service: string, serverIds: readonly string[]) => void;
  readonly observeSuccess: (service: string, serverId: string) => void;
  readonly observeFailure: (service: string, serverId: string) => void;
  /** Selects the servers that are currently ejected. */
  readonly selectEjected: (
    service: string, serverIds: readonly string[],
  ) => ReadonlySet<string>;
}

/** Creates a view in which every server is healthy; calls `onChange` for each status change. */
export function createServerHealth(
  clock: Core.Clock,
  onChange: (service: string, change: Scheduling.OutlierChange) => void,
): ServerHealth {
  const pools = new Map<string, Scheduling.OutlierState>();
  const step = (service: string, event: Scheduling.OutlierEvent): Scheduling.OutlierState => {
    const { changes, state } = Scheduling.reduceOutliers(
      pools.get(service) ?? Scheduling.initialOutlierState,
      event,
      clock.readMonotonic(),
      HEALTH_OPTIONS,
    );
    pools.set(service, state);
    changes.forEach((change) => onChange(service, change));
    return state;
  };
  return {
    observeFailure: (service, serverId) => {
      step(service, { _tag: 'Failure', serverId });
    },
    observeMembers: (service, serverIds) => {
      if (pools.get(service)?.memberCount === serverIds.length) return;
      step(service, { _tag: 'Members', serverIds });
    },
    observeSuccess: (service, serverId) => {
      step(service, { _tag: 'Success', serverId });
    },
    selectEjected: (service, serverIds) => {
      const state = step(service, { _tag: 'Tick' });
      return new Set(serverIds.filter((serverId) => (
        Scheduling.getOutlierStatus(state, serverId) === 'ejected'
      )));
    },
  };
}
