/** Commands that validate, publish and show the operators' lists. */
import * as Config from '@berylyoke/config';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type * as CliCommand from './CliCommand.js';
import * as CliError from './CliError.js';
import * as CliFiles from './CliFiles.js';
import * as CliLog from './CliLog.js';

const encodeEdit = Schema.encodeSync(Config.ConfigEdit);
const encodeLists = Schema.encodeSync(Config.Lists);

function formatItemCounts(lists: Config.Lists): string {
  return `${lists.accounts.length} accounts, ${lists.plans.length} plans, `
    + `${lists.classes.length} classes, ${lists.models.length} models, `
    + `${lists.routes.length} routes`;
}

/** Validates a lists file without publishing it. */
export const validateConfig: CliCommand.CommandHandler = ({ lists: file }) => (
  CliFiles.readLists(file).pipe(Effect.map((lists) => ({
    text: `${file} is valid: ${formatItemCounts(lists)}`, value: { file, valid: true },
  })))
);

/** Creates the error for an edit that came after another edit of the same base version. */
function createConflictError(
  state: Config.ConfigState,
  baseVersion: number,
  lists: Config.Lists,
): CliError.CommandFailedError {
  const difference = Config.diffLists(state.lists, lists);
  const acceptedEdit = state.history
    .find((edit) => edit.accepted && edit.baseVersion === baseVersion);
  const comparison = difference.length === 0
    ? 'Your lists are equal to the active ones.'
    : 'Your lists differ from the active ones (+ only in yours, - only in active, ~ changed):\n'
      + `${Config.renderDifferences(difference)}\n`
      + 'Merge the changes and publish again.';
  return new CliError.CommandFailedError({
    details: {
      baseVersion, difference, version: state.version, winnerOffset: acceptedEdit?.offset,
    },
    message: `nothing was published: another edit of version ${baseVersion} was accepted first, `
      + `and version ${state.version} is active. ${comparison}`,
  });
}

/** Publishes a lists file and waits until the edit was read back from the log. */
export const publishConfig: CliCommand.CommandHandler = (args) => Effect.gen(function* publish() {
  const lists = yield* CliFiles.readLists(args.lists);
  const settings = yield* CliFiles.readSettings(args.settings);
  return yield* CliLog.withConfigLog(settings, (log) => Effect.gen(function* append() {
    const stateBefore = log.getState();
    const baseVersion = args.base ?? stateBefore.version;
    if (baseVersion > stateBefore.version) {
      return yield* new CliError.BadInputError({
        message: `--base ${baseVersion} does not exist: version ${stateBefore.version} is active`,
      });
    }
    const record = yield* log.append(
      Config.CONFIG_KINDS.edit,
      encodeEdit(baseVersion === stateBefore.version
        ? { baseVersion, change: Config.buildListsChange(stateBefore.lists, lists) }
        : { baseVersion, lists }),
    );
    const state = log.getState();
    const outcome = state.history.find(({ recordId }) => recordId === record.recordId);
    if (outcome?.accepted !== true) return yield* createConflictError(state, baseVersion, lists);
    const version = baseVersion + 1;
    const changes = Config.diffLists(stateBefore.lists, lists);
    return {
      text: [`version ${version} is active`, Config.renderDifferences(changes)]
        .filter((line) => line !== '').join('\n'),
      value: { changes, offset: outcome.offset, version },
    };
  }));
});

/** Shows the active lists as TOML that can be edited and published. */
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

/** Shows the most recent edits, including rejected ones. */
export const showHistory: CliCommand.CommandHandler = (args) => (
  CliFiles.readSettings(args.settings).pipe(
    Effect.flatMap((settings) => CliLog.withConfigLog(settings, (log) => Effect.sync(() => {
      const { history } = log.getState();
      return {
        text: history.length === 0 ? 'no edits found' : history.map(formatEdit).join('\n'),
        value: history,
      };
    }))),
  )
);
