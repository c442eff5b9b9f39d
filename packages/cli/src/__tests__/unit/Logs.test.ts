import * as Either from 'effect/Either';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import {
  afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import * as Cli from '../../index.js';

const common = { daemon: 'vm-1', level: 30, part: 'routing' };
const started = {
  ...common, dataCentre: 'a', listen: {}, msg: 'routing: started', time: 500,
};
const lost = {
  ...common,
  dependency: 'configuration',
  detail: 'timeout',
  msg: 'routing: dependency lost',
  time: 900,
};
const attempt = {
  ...common,
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
const ended = {
  ...common,
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

function decodeAll(...lines: readonly unknown[]): readonly Cli.LogLine[] {
  return lines.map((line) => Either.getOrThrow(Cli.decodeLogLine(JSON.stringify(line))));
}

describe('lines of the log', () => {
  test('a collector may put text before the object', () => {
    const decoded = Cli.decodeLogLine(`  12.1 vm-1 ${JSON.stringify(ended)}`);
    expect(Either.isRight(decoded) && decoded.right.event).toBe('request ended');
  });

  test.each([
    ['an unknown event', { ...ended, msg: 'routing: request finished' }, 'unknown event'],
    ['a field that is not in the schema', { ...ended, key: 'secret' }, 'key'],
    ['a field of another type', { ...ended, sends: '1' }, 'sends'],
    ['a field that is missing', { ...ended, outcome: undefined }, 'outcome'],
  ])('%s is a problem', (_, line, problem) => {
    const decoded = Cli.decodeLogLine(JSON.stringify(line));
    expect(Either.isLeft(decoded) && decoded.left).toContain(problem);
  });
});

describe('story of a request', () => {
  test('has its lines in time order, its cause and what its daemon believed', () => {
    const other = { ...lost, daemon: 'vm-2', time: 1_000 };
    const story = Cli.buildRequestStory(decodeAll(ended, lost, attempt, other, started), 'r-1');
    expect(story?.lines.map(({ event }) => event)).toEqual(['attempt failed', 'request ended']);
    expect(story?.context.map(({ event, time }) => [event, time]))
      .toEqual([['started', 500], ['dependency lost', 900]]);
    expect(story?.cause).toContain('time limit');
  });

  test('leaves out what a former process of the daemon believed', () => {
    const story = Cli.buildRequestStory(
      decodeAll(ended, lost, { ...started, time: 1_000 }),
      'r-1',
    );
    expect(story?.context.map(({ event }) => event)).toEqual(['started']);
  });
});

describe('commands that read logs', () => {
  let directory: string;
  const run = async (...args: string[]): Promise<{ status: number; text: string }> => {
    const texts: string[] = [];
    const write = (text: string): void => {
      texts.push(text);
    };
    const status = await Cli.runCli(args, { writeStderr: write, writeStdout: write });
    return { status, text: texts.join('') };
  };
  const write = async (name: string, ...lines: readonly unknown[]): Promise<string> => {
    const file = path.join(directory, name);
    await fs.writeFile(file, lines.map((line) => JSON.stringify(line)).join('\n'));
    return file;
  };
  beforeEach(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-logs-'));
  });
  afterEach(() => fs.rm(directory, { recursive: true }));

  test('explain takes several files and the id after them', async () => {
    const files = [await write('a', ended), await write('b', attempt, started)];
    const { status, text } = await run('explain', '--logs', ...files, 'r-1');
    expect(status).toBe(0);
    expect(text).toMatch(/attempt at i-1 of s ended after 300 ms[^]*request ended after 400 ms/);
    expect(await run('explain', '--logs', ...files, 'r-2')).toMatchObject({ status: 1 });
  });

  test('explain without an id says what is missing', async () => {
    const { status, text } = await run('explain', '--logs', await write('a', ended));
    expect(status).toBe(2);
    expect(text).toContain('missing request id');
  });

  test('check names file and line of a problem', async () => {
    const sound = await write('a', ended, attempt);
    expect(await run('logs', 'check', sound)).toMatchObject({ status: 0 });
    const broken = await write('b', ended, { ...ended, sends: '1' });
    const { status, text } = await run('logs', 'check', sound, broken);
    expect(status).toBe(1);
    expect(text).toContain('4 lines, 1 that do not follow the schema');
    expect(text).toContain(`${broken}:2: request ended: sends`);
  });
});
