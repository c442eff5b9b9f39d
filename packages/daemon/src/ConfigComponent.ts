/** Component that follows the configuration stream and ends the requests of withdrawn keys. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import type * as Log from '@berylyoke/log';
import type * as ActiveRequests from './ActiveRequests.js';
import type * as DaemonContext from './DaemonContext.js';

/** Store of the configuration in force, which receives entries from the log and from peers. */
export interface ConfigSource extends DaemonContext.ConfigView {
  readonly close: Core.Cleanup;
}

/** Starts to read the configuration stream of the log. */
export function createConfigSource(
  port: Log.LogPort,
  clock: Core.Clock,
  isolationMs: Core.Millis,
): ConfigSource {
  const store = Config.createConfigStore(clock, isolationMs);
  let isTailNeeded = (): boolean => true;
  const close = Config.startConfigTail({
    clock, isActive: () => isTailNeeded(), port, store,
  });
  return {
    close,
    getState: store.getState,
    registerListener: store.registerListener,
    registerTailCondition: (condition) => {
      const previous = isTailNeeded;
      isTailNeeded = condition;
      return () => {
        isTailNeeded = previous;
      };
    },
    store,
  };
}

function isWithdrawn(state: Config.ConfigState, request: ActiveRequests.ActiveRequest): boolean {
  return request.keyId !== undefined && Config.findKey(state, request.keyId)?.withdrawn === true;
}

/**
 * Registers the configuration component. When a key is withdrawn, its queued requests are refused
 * at once and its running repeatable requests are ended after a grace period; its running
 * non-repeatable calls finish.
 */
export function registerConfigComponent(context: DaemonContext.DaemonContext): Core.Cleanup {
  const logger = Core.getPartLogger(context.logger, 'config');
  let { version } = context.config.getState();
  return Core.mergeCleanups(
    context.config.registerListener((state) => {
      if (state.version !== version) {
        logger.info({ version: state.version }, 'configuration in force');
      }
      version = state.version;
      const withdrawn = context.activeRequests.list()
        .filter((request) => isWithdrawn(state, request));
      withdrawn.filter(({ isRunning }) => !isRunning()).forEach(({ end }) => end());
      const ended = withdrawn.filter(({ isRunning, repeatable }) => repeatable && isRunning());
      if (ended.length === 0) return;
      setTimeout(
        () => ended.forEach(({ end }) => end()),
        context.settings.timing.withdrawnGraceMs,
      ).unref();
    }),
    context.registerReadinessCheck('config', () => {
      if (!context.config.store.isReady()) return 'entries of the configuration stream are missing';
      return version > 0 ? undefined : 'no configuration has been read yet';
    }),
    context.registerStatusSection('config', () => {
      const state = context.config.getState();
      return {
        accounts: state.lists.accounts.length,
        keys: Config.countKeys(state),
        offset: state.offset,
        version,
      };
    }),
  );
}
