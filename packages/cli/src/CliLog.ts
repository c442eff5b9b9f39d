/** Access to the configuration stream of the log for commands that read it or append to it. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as CliError from './CliError.js';

/** Time limit for reading the stream to its end, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 10_000;
const CATCH_UP_POLL_MS = 10;
const RECORDS_EXPIRED_MESSAGE = 'configuration records have expired from the log and no snapshot '
  + 'was found; the daemon that holds the duties writes snapshots';

/** An open configuration stream. */
export interface ConfigLog {
  readonly getState: () => Config.ConfigState;
  /** True when records have expired and no snapshot replaces them. */
  readonly hasGap: () => boolean;
  /** Appends a record; succeeds once the record was read back and the state includes it. */
  readonly append: (
    kind: string,
    body: unknown,
  ) => Effect.Effect<Log.LogRecord, CliError.CommandFailedError>;
}

function createConfigLog(client: Log.LogClient): ConfigLog {
  let reader = Config.initialConfigReader;
  let afterOffset = -1;
  client.registerReader(Log.STREAMS.config, 0, {
    onEntry: (entry) => {
      reader = Config.reduceReader(reader, { _tag: 'entries', afterOffset, entries: [entry] });
      afterOffset = entry.offset;
    },
    onGap: (firstOffset) => {
      reader = Config.reduceReader(reader, { _tag: 'gap', firstOffset });
      afterOffset = firstOffset - 1;
    },
  });
  return {
    append: (kind, body) => {
      const record = Log.createRecord(client.writer, kind, body);
      return client.appendAndReadBack(Log.STREAMS.config, record).pipe(
        Effect.as(record),
        Effect.mapError(({ message }) => new CliError.CommandFailedError({
          message: `${message}; the change may still take effect: check with config history`,
        })),
      );
    },
    getState: () => reader.config,
    hasGap: () => Config.isInGap(reader),
  };
}

function waitForCatchUp(
  client: Log.LogClient,
  logUrl: string,
): Effect.Effect<void, CliError.CommandFailedError> {
  return Effect.sleep(Duration.millis(CATCH_UP_POLL_MS)).pipe(
    Effect.repeat({ until: () => client.getStatus(Log.STREAMS.config).caughtUp }),
    Effect.timeoutFail({
      duration: Duration.millis(CATCH_UP_TIMEOUT_MS),
      onTimeout: () => new CliError.CommandFailedError({
        message: `the log at ${logUrl} did not answer within ${CATCH_UP_TIMEOUT_MS} ms`,
      }),
    }),
    Effect.asVoid,
  );
}

/**
 * Opens the configuration stream, reads it to its end, runs the command and closes the stream.
 * Fails when the log does not answer in time or when expired records have no snapshot.
 */
export function withConfigLog<A>(
  settings: Config.Settings,
  runCommand: (log: ConfigLog) => Effect.Effect<A, CliError.CliError>,
): Effect.Effect<A, CliError.CliError> {
  const { logUrl } = settings.platform;
  return Effect.acquireUseRelease(
    Effect.sync(() => Log.createLogClient(
      Log.createHttpLog(logUrl),
      { daemonId: 'berylyoke', incarnation: Core.createIncarnation(Core.systemClock) },
      Core.systemClock,
    )),
    (client) => Effect.suspend(() => {
      const log = createConfigLog(client);
      return waitForCatchUp(client, logUrl).pipe(
        Effect.zipRight(Effect.suspend(() => (log.hasGap()
          ? Effect.fail(new CliError.CommandFailedError({ message: RECORDS_EXPIRED_MESSAGE }))
          : runCommand(log)))),
      );
    }),
    (client) => Effect.sync(() => client.close()),
  );
}
