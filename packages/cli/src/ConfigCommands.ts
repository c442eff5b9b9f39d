/** Commands on the operators' lists. */
import * as Config from '@berylyoke/config';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';
import * as CliLog from './CliLog.js';

const encodeEdit = Schema.encodeSync(Config.ConfigEdit);
const encodeLists = Schema.encodeSync(Config.Lists);

function countItems(lists: Config.Lists): string {
  return `${lists.accounts.length} accounts, ${lists.plans.length} plans, `
    + `${lists.classes.length} classes, ${lists.models.length} models, `
    + `${lists.routes.length} routes`;
}

/** Checks a file of lists without publishing it. */
export const validateConfig: CliCommand.CommandHandler = ({ lists: file }) => (
  CliFiles.readLists(file).pipe(Effect.map((lists) => ({
    text: `${file} is valid: ${countItems(lists)}`, value: { file, valid: true },
  })))
);

function describeLostRace(
  state: Config.ConfigState,
  baseVersion: number,
  lists: Config.Lists,
): CliError.CommandFailedError {
  const difference = Config.diffLists(state.lists, lists);
  const winner = state.history.find((edit) => edit.accepted && edit.baseVersion === baseVersion);
  const changes = difference.length === 0
    ? 'The lists in force equal yours.'
    : 'Your lists differ from those in force (+ only in yours, - only in force, ~ changed):\n'
      + `${Config.renderDifferences(difference)}\n`
      + 'Merge both and publish again.';
  return new CliError.CommandFailedError({
    details: {
      baseVersion, difference, version: state.version, winnerOffset: winner?.offset,
    },
    message: `nothing was published: another edit of version ${baseVersion} came first, `
      + `and version ${state.version} is in force. ${changes}`,
  });
}

/** Publishes a file of lists and waits until it was read back. */
export const publishConfig: CliCommand.CommandHandler = (args) => Effect.gen(function* publish() {
  const lists = yield* CliFiles.readLists(args.lists);
  const settings = yield* CliFiles.readSettings(args.settings);
  return yield* CliLog.withConfigLog(settings, (log) => Effect.gen(function* append() {
    const before = log.getState();
    const baseVersion = args.base ?? before.version;
    if (baseVersion > before.version) {
      return yield* new CliError.BadInputError({
        message: `--base ${baseVersion} does not exist: version ${before.version} is in force`,
      });
    }
    const record = yield* log.append(
      Config.CONFIG_KINDS.edit,
      encodeEdit(baseVersion === before.version
        ? { baseVersion, change: Config.buildListsChange(before.lists, lists) }
        : { baseVersion, lists }),
    );
    const state = log.getState();
    const outcome = state.history.find(({ recordId }) => recordId === record.recordId);
    if (outcome?.accepted !== true) return yield* describeLostRace(state, baseVersion, lists);
    const version = baseVersion + 1;
    const changes = Config.diffLists(before.lists, lists);
    return {
      text: [`version ${version} is in force`, Config.renderDifferences(changes)]
        .filter((line) => line !== '').join('\n'),
      value: { changes, offset: outcome.offset, version },
    };
  }));
});

/** Shows the lists in force, as a file that can be edited and published. */
export const showConfig: CliCommand.CommandHandler = (args) => (
  CliFiles.readSettings(args.settings).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.sync(() => {
      const { lists, version } = log.getState();
      return {
        text: `# version ${version}\n${Config.encodeToml(Config.Lists, lists).trimEnd()}`,
        value: { lists: encodeLists(lists), version },
      };
    }))),
  )
);

function formatEdit(edit: Config.EditOutcome): string {
  const time = new Date(edit.timestampMs).toISOString();
  const result = edit.accepted ? `version ${edit.baseVersion + 1}` : `rejected (${edit.reason})`;
  return `${time}  offset ${edit.offset}  base ${edit.baseVersion}  ${result}  by ${edit.writer}`;
}

/** Shows the newest edits, the rejected ones included. */
export const showHistory: CliCommand.CommandHandler = (args) => (
  CliFiles.readSettings(args.settings).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.sync(() => {
      const { history } = log.getState();
      return {
        text: history.length === 0 ? 'no edits' : history.map(formatEdit).join('\n'),
        value: history,
      };
    }))),
  )
);
