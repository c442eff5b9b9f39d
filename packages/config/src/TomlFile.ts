/**
 * Decodes TOML documents with a schema. Keys are in snake case in the file and in camel case in the
 * program; a problem has the line and the key as written in the file.
 */
import * as Data from 'effect/Data';
import * as Either from 'effect/Either';
import * as ParseResult from 'effect/ParseResult';
import * as Schema from 'effect/Schema';
import * as Toml from 'smol-toml';

/** A problem in a document. `line` starts at 1; it is 0 if no line of the document matches. */
export interface TomlProblem {
  readonly line: number;
  readonly key: string;
  readonly problem: string;
}

/** The document is invalid; nothing was changed. */
export class TomlError extends Data.TaggedError('TomlError')<{
  readonly file: string;
  readonly problems: readonly TomlProblem[];
}> {
  get message(): string {
    return this.problems.map(({ key, line, problem }) => (
      [`${this.file}:${line}`, key, problem].filter((part) => part !== '').join(': ')
    )).join('\n');
  }
}

type Path = readonly PropertyKey[];

function toCamelCase(key: string): string {
  return key.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase());
}

function toSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function mapKeys(value: unknown, mapKey: (key: string) => string): unknown {
  if (Array.isArray(value)) return value.map((item) => mapKeys(item, mapKey));
  if (value === null || typeof value !== 'object' || value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [mapKey(key), mapKeys(item, mapKey)]),
  );
}

/** Formats a path as written in the file, such as `plans[2].classes`. */
export function formatPath(path: Path): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    const key = toSnakeCase(String(part));
    return text === '' ? key : `${text}.${key}`;
  }, '');
}

/** Finds the line of a key, or of its nearest table if the key is missing; 0 if neither exists. */
export function findLine(text: string, path: Path): number {
  const tables = new Map<string, number>();
  let prefix = '';
  let deepest = { depth: 0, line: 0 };
  const keys = path.map((part, index) => formatPath(path.slice(0, index + 1)));
  text.split('\n').forEach((content, index) => {
    const header = /^\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]/.exec(content);
    const assigned = /^\s*([A-Za-z0-9_-]+)\s*=/.exec(content);
    if (header !== null) {
      const [, bracket, name = ''] = header;
      const count = tables.get(name) ?? 0;
      tables.set(name, count + 1);
      prefix = bracket === '[[' ? `${name}[${count}]` : name;
    }
    const key = assigned === null ? undefined : assigned[1];
    const here = key === undefined ? prefix : [prefix, key].filter((part) => part !== '').join('.');
    const depth = header === null && assigned === null ? -1 : keys.indexOf(here) + 1;
    if (depth > deepest.depth) deepest = { depth, line: index + 1 };
  });
  return deepest.line;
}

/** Decodes a document, or fails with all problems found. */
export function decodeToml<A, I>(
  schema: Schema.Schema<A, I>,
  file: string,
  text: string,
): Either.Either<A, TomlError> {
  let parsed: unknown;
  try {
    parsed = mapKeys(Toml.parse(text), toCamelCase);
  } catch (error) {
    const line = error instanceof Toml.TomlError ? error.line : 0;
    const [problem = 'invalid TOML'] = String((error as Error).message).split('\n');
    return Either.left(new TomlError({ file, problems: [{ key: '', line, problem }] }));
  }
  const options = { errors: 'all', onExcessProperty: 'error' } as const;
  return Schema.decodeUnknownEither(schema, options)(parsed).pipe(Either.mapLeft((error) => (
    new TomlError({
      file,
      problems: ParseResult.ArrayFormatter.formatErrorSync(error).map(({ message, path }) => ({
        key: formatPath(path), line: findLine(text, path), problem: message,
      })),
    })
  )));
}

/** Encodes a value as a document that `decodeToml` can decode. */
export function encodeToml<A, I>(schema: Schema.Schema<A, I>, value: A): string {
  return `${Toml.stringify(mapKeys(Schema.encodeSync(schema)(value), toSnakeCase))}\n`;
}
