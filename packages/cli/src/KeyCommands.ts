/** Commands that issue and withdraw callers' keys. */
import * as Config from '@berylyoke/config';
import * as Effect from 'effect/Effect';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';
import * as CliLog from './CliLog.js';

/** Issues a key to a client account. The key is printed once; the log holds only its digest. */
export const issueKey: CliCommand.CommandHandler = ({ account, settings: file }) => (
  CliFiles.readSettings(file).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.gen(
      function* issue() {
        const { accounts } = log.getState().lists;
        if (!accounts.some(({ id }) => id === account)) {
          return yield* new CliError.BadInputError({
            message: `client account "${account}" is not in the lists; `
              + `known accounts: ${accounts.map(({ id }) => id).join(', ')}`,
          });
        }
        const { digest, key, keyId } = Config.createKey();
        yield* log.append(Config.CONFIG_KINDS.keyIssue, { account, digest, keyId });
        if (Config.findKey(log.getState(), keyId)?.digest !== digest) {
          return yield* new CliError.CommandFailedError({
            message: `key id ${keyId} is already taken; issue another key`,
          });
        }
        return { text: key, value: { account, key, keyId } };
      },
    ))),
  )
);

/** Withdraws a key; withdrawing it again succeeds. */
export const withdrawKey: CliCommand.CommandHandler = ({ keyId, settings: file }) => (
  CliFiles.readSettings(file).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.gen(
      function* withdraw() {
        const known = Config.findKey(log.getState(), keyId);
        if (known === undefined) {
          return yield* new CliError.BadInputError({ message: `no key has the id "${keyId}"` });
        }
        if (!known.withdrawn) yield* log.append(Config.CONFIG_KINDS.keyWithdraw, { keyId });
        return {
          text: `key ${keyId} of ${known.account} is withdrawn`,
          value: { account: known.account, keyId, withdrawn: true },
        };
      },
    ))),
  )
);
