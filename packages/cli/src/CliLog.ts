/** The configuration stream of the log, as a command reads and extends it. */
import * as Config from '@berylyoke/config';
import * as Core from '@berylyoke/core';
import * as Log from '@berylyoke/log';
import * as Duration from 'effect/Duration';
import * as Effect from 'effect/Effect';
import * as CliError from './CliError.js';

/** Time for the stream to be read to its end, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 10_000;
const CATCH_UP_POLL_MS = 10;
const EXPIRED = 'configuration records have expired in the log and no snapshot was found; '
  + 'a daemon that holds the duty writes one';

/** An open configuration stream. */
export interface ConfigLog {
  readonly getState: () => Config.ConfigState;
  /** True where records have expired and no snapshot replaces them. */
  readonly isInGap: () => boolean;
  /** Appends a record; succeeds once the state includes it. */
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
    onGap: (first) => {
      reader = Config.reduceReader(reader, { _tag: 'gap', firstOffset: first });
      afterOffset = first - 1;
    },
  });
  return {
    append: (kind, body) => {
      const record = Log.createRecord(client.writer, kind, body);
      return client.appendAndReadBack(Log.STREAMS.config, record).pipe(
        Effect.as(record),
        Effect.mapError(({ message }) => new CliError.CommandFailedError({
          message: `${message}; it may still take effect, which config history will show`,
        })),
      );
    },
    getState: () => reader.config,
    isInGap: () => Config.isInGap(reader),
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

/** Runs a command on the stream, which was read to its end before, and closes it afterwards. */
export function withConfigLog<A>(
  settings: Config.Settings,
  use: (log: ConfigLog) => Effect.Effect<A, CliError.CliError>,
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
        Effect.zipRight(Effect.suspend(() => (log.isInGap()
          ? Effect.fail(new CliError.CommandFailedError({ message: EXPIRED }))
          : use(log)))),
      );
    }),
    (client) => Effect.sync(() => client.close()),
  );
}
