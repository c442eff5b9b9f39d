import * as Either from 'effect/Either';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import {
  afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import * as Cli from '../../index.js';

const commonFields = { daemon: 'vm-1', level: 30, part: 'routing' };
const startedLine = {
  ...commonFields, dataCentre: 'a', listen: {}, msg: 'routing: started', time: 500,
};
const dependencyLostLine = {
  ...commonFields,
  dependency: 'configuration',
  detail: 'timeout',
  msg: 'routing: dependency lost',
  time: 900,
};
const attemptFailedLine = {
  ...commonFields,
  elapsedMs: 300,
  end: 'silent',
  msg: 'routing: attempt failed',
  reason: 'silent',
  requestId: 'r-1',
  sends: 1,
  server: 'i-1',
  service: 's',
  suppressed: 0,
  time: 1_300,
};
const requestEndedLine = {
  ...commonFields,
  configVersion: 7,
  elapsedMs: 400,
  keyProofAgeMs: 250,
  limitMs: 400,
  mayHaveRun: true,
  msg: 'routing: request ended',
  outcome: 'timed_out',
  requestId: 'r-1',
  route: 'r',
  sends: 1,
  server: 'i-1',
  service: 's',
  status: 504,
  suppressed: 2,
  time: 1_400,
};

function decodeLines(...lines: readonly unknown[]): readonly Cli.LogLine[] {
  return lines.map((line) => Either.getOrThrow(Cli.decodeLogLine(JSON.stringify(line))));
}

describe('decoding of log lines', () => {
  test('accepts text of a collector before the JSON object', () => {
    const decoded = Cli.decodeLogLine(`  12.1 vm-1 ${JSON.stringify(requestEndedLine)}`);
    expect(Either.isRight(decoded) && decoded.right.event).toBe('request ended');
  });

  test.each([
    [
      'an unknown event',
      { ...requestEndedLine, msg: 'routing: request finished' },
      'unknown event',
    ],
    ['a field that is not in the schema', { ...requestEndedLine, key: 'secret' }, 'key'],
    ['a field of another type', { ...requestEndedLine, sends: '1' }, 'sends'],
    ['a missing field', { ...requestEndedLine, outcome: undefined }, 'outcome'],
  ])('rejects a line with %s', (_, line, problem) => {
    const decoded = Cli.decodeLogLine(JSON.stringify(line));
    expect(Either.isLeft(decoded) && decoded.left).toContain(problem);
  });
});

describe('explanation of a request', () => {
  test('has the lines of the request in time order, the cause and the daemon state', () => {
    const otherDaemonLine = { ...dependencyLostLine, daemon: 'vm-2', time: 1_000 };
    const explanation = Cli.buildRequestExplanation(
      decodeLines(
        requestEndedLine,
        dependencyLostLine,
        attemptFailedLine,
        otherDaemonLine,
        startedLine,
      ),
      'r-1',
    );
    expect(explanation?.lines.map(({ event }) => event))
      .toEqual(['attempt failed', 'request ended']);
    expect(explanation?.context.map(({ event, time }) => [event, time]))
      .toEqual([['started', 500], ['dependency lost', 900]]);
    expect(explanation?.cause).toContain('time limit');
  });

  // Guards against "no backend server" for a service whose servers are all listed but limited.
  test('shows the limited, paused and leaving servers of a service that refused', () => {
    const noticeFields = { ...commonFields, requestId: 'r-0', service: 's' };
    const limitLine = {
      ...noticeFields,
      msg: 'routing: request limit of a server changed',
      requestsPerS: 1,
      server: 'i-1',
      suppressed: 0,
      time: 700,
    };
    const pauseLine = {
      ...noticeFields,
      isLeaving: false,
      msg: 'routing: server wants no requests',
      pauseMs: 500,
      server: 'i-2',
      time: 800,
    };
    const lines = [
      limitLine,
      pauseLine,
      { ...pauseLine, pauseMs: 100, server: 'i-3' },
      {
        ...pauseLine, isLeaving: true, pauseMs: undefined, server: 'i-4',
      },
      { ...limitLine, server: 'i-5' },
      {
        ...limitLine, previousPerS: 1, requestsPerS: undefined, server: 'i-5', time: 900,
      },
      { ...limitLine, service: 'another' },
    ];
    const refusedLine = {
      ...requestEndedLine, mayHaveRun: false, outcome: 'no_server', server: undefined, status: 503,
    };
    const listServers = (endLine: unknown): readonly (string | undefined)[] => (
      Cli.buildRequestExplanation(decodeLines(...lines, endLine), 'r-1')?.context ?? []
    ).map((line) => ('server' in line ? line.server : undefined));
    expect(listServers(refusedLine)).toEqual(['i-1', 'i-2', 'i-4']);
    expect(listServers(requestEndedLine)).toEqual([]);
  });

  // Guards against an unexplained difference between a whole stream and one that broke off.
  test('shows how the response of the server ended', () => {
    const endLine = {
      ...requestEndedLine, responseEnd: { framing: 'connection', partialEventBytes: 9 },
    };
    const explanation = Cli.buildRequestExplanation(decodeLines(endLine), 'r-1');
    const text = explanation === undefined ? '' : Cli.renderRequestExplanation(explanation);
    expect(text).toContain('marked only by the connection');
    expect(text).toContain('9 bytes after the last complete event');
  });

  test('omits the state that the daemon logged before a restart', () => {
    const explanation = Cli.buildRequestExplanation(
      decodeLines(requestEndedLine, dependencyLostLine, { ...startedLine, time: 1_000 }),
      'r-1',
    );
    expect(explanation?.context.map(({ event }) => event)).toEqual(['started']);
  });
});

describe('commands on log files', () => {
  let directory: string;
  const run = async (...args: string[]): Promise<{ status: number; text: string }> => {
    const outputs: string[] = [];
    const captureOutput = (text: string): void => {
      outputs.push(text);
    };
    const status = await Cli.runCli(args, {
      writeStderr: captureOutput, writeStdout: captureOutput,
    });
    return { status, text: outputs.join('') };
  };
  const writeLogFile = async (name: string, ...lines: readonly unknown[]): Promise<string> => {
    const file = path.join(directory, name);
    await fs.writeFile(file, lines.map((line) => JSON.stringify(line)).join('\n'));
    return file;
  };
  beforeEach(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-logs-'));
  });
  afterEach(() => fs.rm(directory, { recursive: true }));

  test('explain accepts several log files followed by the request id', async () => {
    const files = [
      await writeLogFile('a', requestEndedLine),
      await writeLogFile('b', attemptFailedLine, startedLine),
    ];
    const { status, text } = await run('explain', '--logs', ...files, 'r-1');
    expect(status).toBe(0);
    expect(text).toMatch(/attempt at i-1 of s ended after 300 ms[^]*request ended after 400 ms/);
    expect(await run('explain', '--logs', ...files, 'r-2')).toMatchObject({ status: 1 });
  });

  test('explain says why a request waited and was refused by an overloaded service', async () => {
    const file = await writeLogFile('a', {
      ...requestEndedLine,
      admission: {
        allowanceMs: 329,
        loadAgeMs: 480,
        predictedWaitMs: 1_004,
        reason: 'overloaded',
        waitedMs: 254,
      },
      mayHaveRun: false,
      outcome: 'overloaded',
      sends: 0,
      status: 503,
    });
    const { status, text } = await run('explain', '--logs', file, 'r-1');
    expect(status).toBe(0);
    expect(text).toContain('longer than its priority and target allow');
    expect(text).toContain('admission overloaded after a wait of 254 ms (predicted wait 1004 ms, '
      + 'allowed up to 329 ms, load known 480 ms earlier)');
    expect(await run('logs', 'check', file)).toMatchObject({ status: 0 });
  });

  test('explain without a request id fails and reports it as missing', async () => {
    const { status, text } = await run(
      'explain',
      '--logs',
      await writeLogFile('a', requestEndedLine),
    );
    expect(status).toBe(2);
    expect(text).toContain('missing request id');
  });

  test('logs check reports the file and line of each schema violation', async () => {
    const validFile = await writeLogFile('a', requestEndedLine, attemptFailedLine);
    expect(await run('logs', 'check', validFile)).toMatchObject({ status: 0 });
    const invalidFile = await writeLogFile(
      'b',
      requestEndedLine,
      { ...requestEndedLine, sends: '1' },
    );
    const { status, text } = await run('logs', 'check', validFile, invalidFile);
    expect(status).toBe(1);
    expect(text).toContain('lines: 4, schema violations: 1');
    expect(text).toContain(`${invalidFile}:2: request ended: sends`);
  });
});
