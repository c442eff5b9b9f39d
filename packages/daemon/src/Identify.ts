/** Finds the client account that the key of a request belongs to. */
import * as Config from '@berylyoke/config';
import type * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import type * as DaemonPorts from './DaemonPorts.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;
const INVALID_KEY_MESSAGE = 'the key is missing or not valid';

/** Identifies the caller, or refuses; the refusal never contains the presented key. */
export function identifyCaller(
  headers: http.IncomingHttpHeaders,
  state: Config.ConfigState,
  keyGuard: DaemonPorts.KeyGuardPort,
  nowMs: Core.Millis,
): RequestTypes.Caller | Refusal.Refusal {
  const bearerMatch = BEARER_PATTERN.exec(headers.authorization ?? '');
  const parsedKey = bearerMatch === null ? undefined : Config.parseKey(bearerMatch[1] ?? '');
  const knownKey = parsedKey === undefined ? undefined : Config.findKey(state, parsedKey.keyId);
  if (parsedKey === undefined) return Refusal.createRefusal('invalid_key', INVALID_KEY_MESSAGE);
  if (knownKey === undefined) {
    // An isolated daemon may not have read the configuration entry that issued this key yet.
    return keyGuard.check(nowMs) ?? Refusal.createRefusal('invalid_key', INVALID_KEY_MESSAGE);
  }
  if (!Config.isSecretOf(knownKey.digest, parsedKey.secret)) {
    return Refusal.createRefusal('invalid_key', INVALID_KEY_MESSAGE);
  }
  if (knownKey.withdrawn) return Refusal.createRefusal('key_withdrawn', 'the key was withdrawn');
  const account = state.lists.accounts.find(({ id }) => id === knownKey.account);
  const plan = state.lists.plans.find(({ id }) => id === account?.plan);
  if (account === undefined || plan === undefined) {
    return Refusal.createRefusal('invalid_key', 'the client account of the key holds no plan');
  }
  return keyGuard.check(nowMs) ?? { account, keyId: parsedKey.keyId, plan };
}
