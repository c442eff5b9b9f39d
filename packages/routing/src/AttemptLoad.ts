/**
 * Load of one attempt of a request at a server, as it is counted in the load of the fleet. Only
 * requests with a prompt at services of engines are counted.
 */
import type * as Core from '@berylyoke/core';
import type * as PathContext from './PathContext.js';
import type * as ServerPicker from './ServerPicker.js';
import type * as ServerSelection from './ServerSelection.js';
import * as ServerTable from './ServerTable.js';

/** Load of an attempt until its end. */
export interface AttemptLoad {
  /** Records that the first token arrived; `elapsedMs` is undefined if it was not a token. */
  readonly observeStart: (elapsedMs: Core.Millis | undefined) => void;
  /** Records that the server refused the request because it is full. */
  readonly observeRefusal: () => void;
  /** Records that the attempt ended; later calls have no effect. */
  readonly end: () => void;
}

const UNCOUNTED: AttemptLoad = {
  end: () => undefined, observeRefusal: () => undefined, observeStart: () => undefined,
};

type Context = Pick<PathContext.PathContext, 'fleetLoad' | 'getActiveConfig'>;

function hasEngine({ getActiveConfig }: Context, service: string): boolean {
  return getActiveConfig()?.config.services.get(service)?.engine !== undefined;
}

/** Adds the prompt of a request to the demand of its account. */
export function recordDemand(
  context: Context,
  service: string,
  account: string | undefined,
  prompt: ServerPicker.Prompt | undefined,
): void {
  if (account === undefined || prompt === undefined || !hasEngine(context, service)) return;
  context.fleetLoad.addDemand(account, prompt.inputTokens);
}

/** Adds an attempt to the load of its server; `pendingPromptTokens` have to be prefilled there. */
export function openAttemptLoad(
  context: Context,
  { expectedFirstTokenMs, pooled }: Pick<
    ServerSelection.ChosenServer, 'expectedFirstTokenMs' | 'pooled'
  >,
  prompt: ServerPicker.Prompt | undefined,
  pendingPromptTokens: number,
): AttemptLoad {
  if (prompt === undefined || !hasEngine(context, pooled.server.service)) return UNCOUNTED;
  const { fleetLoad } = context;
  const server = ServerTable.formatIncarnation(pooled.server);
  // The end subtracts what the beginning added, whatever numbers the caller stated.
  const heldTokens = Math.max(0, prompt.inputTokens) + Math.max(0, prompt.maxOutputTokens);
  let isPending = true;
  let isEnded = false;
  const endPending = (requests: number, held: number): void => {
    fleetLoad.addOwn(server, {
      heldTokens: -held,
      pendingPromptTokens: isPending ? -pendingPromptTokens : 0,
      requests: -requests,
    });
    isPending = false;
  };
  fleetLoad.addOwn(server, { heldTokens, pendingPromptTokens, requests: 1 });
  return {
    end: () => {
      if (isEnded) return;
      isEnded = true;
      endPending(1, heldTokens);
    },
    observeRefusal: () => fleetLoad.observeRefusal(server),
    observeStart: (elapsedMs) => {
      if (!isPending) return;
      endPending(0, 0);
      if (elapsedMs !== undefined) {
        fleetLoad.observeFirstToken(server, expectedFirstTokenMs, elapsedMs);
      }
    },
  };
}
