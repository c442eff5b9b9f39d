/** Reads settings and lists from TOML files; error messages give the location of each problem. */
import * as Config from '@berylyoke/config';
import * as Effect from 'effect/Effect';
import * as Either from 'effect/Either';
import type * as Schema from 'effect/Schema';
import * as fs from 'node:fs/promises';
import * as CliError from './CliError.js';

function readFile(file: string): Effect.Effect<string, CliError.BadInputError> {
  return Effect.tryPromise({
    catch: (error) => new CliError.BadInputError({
      message: `cannot read ${file}: ${(error as Error).message}`,
    }),
    try: () => fs.readFile(file, 'utf8'),
  });
}

function decodeFile<A, I>(
  schema: Schema.Schema<A, I>,
  file: string,
  text: string,
): Effect.Effect<A, CliError.BadInputError> {
  return Config.decodeToml(schema, file, text).pipe(
    Either.mapLeft(({ message }) => new CliError.BadInputError({ message })),
  );
}

/** Reads the settings file; fails when `--settings` is missing or the file is not valid. */
export function readSettings(
  file: string | undefined,
): Effect.Effect<Config.Settings, CliError.BadInputError> {
  if (file === undefined) {
    return Effect.fail(new CliError.BadInputError({ message: 'option --settings is required' }));
  }
  return readFile(file).pipe(Effect.flatMap((text) => decodeFile(Config.Settings, file, text)));
}

/** Reads a lists file and checks that every name that it refers to is defined exactly once. */
export function readLists(file: string): Effect.Effect<Config.Lists, CliError.BadInputError> {
  return Effect.gen(function* readAndCheck() {
    const text = yield* readFile(file);
    const lists = yield* decodeFile(Config.Lists, file, text);
    const problems = Config.checkReferences(lists);
    if (problems.length === 0) return lists;
    return yield* new CliError.BadInputError({
      message: problems.map(({ allowed, found, path }) => (
        `${file}:${Config.findLine(text, path)}: ${Config.formatPath(path)}: `
        + `found "${found}", expected ${allowed}`
      )).join('\n'),
    });
  });
}
