/** Commands that issue and withdraw API keys of client accounts. */
import * as Config from '@berylyoke/config';
import * as Effect from 'effect/Effect';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';
import * as CliLog from './CliLog.js';

/** Issues an API key. The key is printed once; the log stores only a digest of its secret. */
export const issueKey: CliCommand.CommandHandler = ({ account, settings: file }) => (
  CliFiles.readSettings(file).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.gen(
      function* issue() {
        const { accounts } = log.getState().lists;
        if (!accounts.some(({ id }) => id === account)) {
          return yield* new CliError.BadInputError({
            message: `client account "${account}" is not in the active lists; `
              + `known accounts: ${accounts.map(({ id }) => id).join(', ')}`,
          });
        }
        const { digest, key, keyId } = Config.createKey();
        yield* log.append(Config.CONFIG_KINDS.keyIssue, { account, digest, keyId });
        if (Config.findKey(log.getState(), keyId)?.digest !== digest) {
          return yield* new CliError.CommandFailedError({
            message: `key id ${keyId} is already in use; issue another key`,
          });
        }
        return { text: key, value: { account, key, keyId } };
      },
    ))),
  )
);

/** Withdraws an API key; succeeds also when the key was already withdrawn. */
export const withdrawKey: CliCommand.CommandHandler = ({ keyId, settings: file }) => (
  CliFiles.readSettings(file).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.gen(
      function* withdraw() {
        const keyState = Config.findKey(log.getState(), keyId);
        if (keyState === undefined) {
          return yield* new CliError.BadInputError({ message: `unknown key id "${keyId}"` });
        }
        if (!keyState.withdrawn) yield* log.append(Config.CONFIG_KINDS.keyWithdraw, { keyId });
        return {
          text: `key ${keyId} of ${keyState.account} is withdrawn`,
          value: { account: keyState.account, keyId, withdrawn: true },
        };
      },
    ))),
  )
);
