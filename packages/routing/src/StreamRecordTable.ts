/**
 * Records of the software versions at which streams began, as they are in the store: a key for each
 * attempt of the request that began a stream, so that no write replaces that of another attempt.
 */
import type * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';
import * as Digest from './Digest.js';
import type * as Ports from './Ports.js';

const KEY_SEPARATOR = '/';

const RecordDocument = Schema.parseJson(Schema.Struct({
  /** True time of the record in Unix milliseconds. */
  atMs: Schema.Finite,
  version: Schema.String,
}));

const decodeDocument = Schema.decodeUnknownOption(RecordDocument);

/** Record of one attempt. */
export type StreamRecord = typeof RecordDocument.Type;

/** A stream as callers name it: by the request that brought its first event. */
export interface StreamName {
  /** Name of the caller's account; undefined on routes that are open to all. */
  readonly account: string | undefined;
  readonly requestId: string;
}

function hashStreamName({ account, requestId }: StreamName): string {
  return Digest.hashFields([account, requestId]);
}

/** Formats the key of a record. */
export function formatRecordKey(name: StreamName, attempt: number): string {
  return [hashStreamName(name), attempt].join(KEY_SEPARATOR);
}

/** Encodes a record. */
export function encodeStreamRecord(record: StreamRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Known records of all daemons. */
export interface StreamRecordTable {
  readonly apply: (changes: readonly Ports.KeyedChange[]) => void;
  readonly clear: () => void;
  /** Returns the record of the last attempt; undefined if the stream has none. */
  readonly getNewest: (name: StreamName) => StreamRecord | undefined;
  /** Lists the keys of records from before a time. */
  readonly listOlder: (thanMs: Core.Millis) => readonly string[];
}

/** Creates an empty table. */
export function createStreamRecordTable(): StreamRecordTable {
  /** Records by attempt, by stream. */
  const streams = new Map<string, Map<number, StreamRecord>>();
  const applyChange = ({ key, raw }: Ports.KeyedChange): void => {
    const [stream = '', attemptText] = key.split(KEY_SEPARATOR);
    const attempt = Number(attemptText);
    const decoded = raw === undefined ? undefined : decodeDocument(raw.toString('utf8'));
    const attempts = streams.get(stream) ?? new Map<number, StreamRecord>();
    if (decoded?._tag === 'Some') attempts.set(attempt, decoded.value);
    else attempts.delete(attempt);
    if (attempts.size > 0) streams.set(stream, attempts);
    else streams.delete(stream);
  };
  return {
    apply: (changes) => changes.forEach(applyChange),
    clear: () => streams.clear(),
    getNewest: (name) => {
      const attempts = streams.get(hashStreamName(name));
      return attempts?.get(Math.max(...attempts.keys()));
    },
    listOlder: (thanMs) => [...streams].flatMap(([stream, attempts]) => (
      [...attempts].filter(([, { atMs }]) => atMs < thanMs)
        .map(([attempt]) => `${stream}${KEY_SEPARATOR}${attempt}`)
    )),
  };
}
