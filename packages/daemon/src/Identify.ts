/** Filter: finds the client account by the key that came with the request. */
import * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as PathPorts from './PathPorts.js';
import type * as PathTypes from './PathTypes.js';
import * as Refusal from './Refusal.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;
const INVALID = 'the key is missing or not valid';

/** Identifies the caller, or refuses; the message never repeats what was shown. */
export function identifyCaller(
  headers: http.IncomingHttpHeaders,
  state: Config.ConfigState,
  guard: PathPorts.KeyGuardPort,
  nowMs: Core.Millis,
): PathTypes.Caller | Refusal.Refusal {
  const match = BEARER_PATTERN.exec(headers.authorization ?? '');
  const parsed = match === null ? undefined : Config.parseKey(match[1] ?? '');
  const known = parsed === undefined ? undefined : Config.findKey(state, parsed.keyId);
  if (parsed === undefined || known === undefined) {
    return Refusal.createRefusal('invalid_key', INVALID);
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
