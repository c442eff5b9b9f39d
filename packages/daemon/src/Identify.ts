/** Filter: finds the client account by the key that came with the request. */
import * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;
const INVALID = 'the key is missing or not valid';

/** Identifies the caller, or refuses; the message never repeats what was shown. */
export function identifyCaller(
  headers: http.IncomingHttpHeaders,
  state: Config.ConfigState,
  guard: DaemonPorts.KeyGuardPort,
  nowMs: Core.Millis,
): RequestTypes.Caller | Refusal.Refusal {
  const match = BEARER_PATTERN.exec(headers.authorization ?? '');
  const parsed = match === null ? undefined : Config.parseKey(match[1] ?? '');
  const known = parsed === undefined ? undefined : Config.findKey(state, parsed.keyId);
  if (parsed === undefined) return Refusal.createRefusal('invalid_key', INVALID);
  if (known === undefined) {
    // An isolated daemon may not have read the issue of this key yet.
    return guard.check(nowMs) ?? Refusal.createRefusal('invalid_key', INVALID);
  }
  if (!Config.isSecretOf(known.digest, parsed.secret)) {
    return Refusal.createRefusal('invalid_key', INVALID);
  }
  if (known.withdrawn) return Refusal.createRefusal('key_withdrawn', 'the key was withdrawn');
  const account = state.lists.accounts.find(({ id }) => id === known.account);
  const plan = state.lists.plans.find(({ id }) => id === account?.plan);
  if (account === undefined || plan === undefined) {
    return Refusal.createRefusal('invalid_key', 'the client account of the key holds no plan');
  }
  return guard.check(nowMs) ?? { account, keyId: parsed.keyId, plan };
}
