/** Default retry budget: retries are a share of first attempts. */
import type * as PathPorts from './PathPorts.js';

/** Share of first attempts that may be made a second time. */
const RETRY_SHARE = 0.1;
/** Enough to restart what one failed server of a small fleet had been given. */
const MAX_CREDIT = 50;

/** Creates a full budget. */
export function createDefaultRetry(): PathPorts.RetryPort {
  let credit = MAX_CREDIT;
  return {
    addRequest: () => {
      credit = Math.min(MAX_CREDIT, credit + RETRY_SHARE);
    },
    claim: (isResume) => {
      if (credit < 1 && !isResume) return false;
      credit = Math.max(0, credit - 1);
      return true;
    },
  };
}
