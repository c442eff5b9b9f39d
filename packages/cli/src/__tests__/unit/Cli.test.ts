import * as Config from '@berylyoke/config';
import * as Log from '@berylyoke/log';
import * as Testkit from '@berylyoke/testkit';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as Vitest from 'vitest';
import * as Cli from '../../Cli.js';

const {
  afterEach, beforeEach, describe, expect, test,
} = Vitest;

describe('command line', () => {
  let directory: string;
  let log: Testkit.FakeLog;
  let settingsFile: string;
  let listsFile: string;

  const writeTestFile = async (name: string, text: string): Promise<string> => {
    const file = path.join(directory, name);
    await fs.writeFile(file, text);
    return file;
  };
  const run = async (...args: string[]) => {
    const out: string[] = [];
    const error: string[] = [];
    const status = await Cli.runCli(args, {
      writeStderr: (text) => error.push(text), writeStdout: (text) => out.push(text),
    });
    return { error: error.join(''), out: out.join(''), status };
  };
  const runJson = async (...args: string[]) => {
    const { out, status } = await run('--settings', settingsFile, '--json', ...args);
    return { status, value: JSON.parse(out) };
  };

  beforeEach(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-cli-'));
    log = await Testkit.startFakeLog();
    settingsFile = await writeTestFile('settings.toml', `
daemon_id = "entry-1"
data_centre = "a"
region = "r"
operators = ["http://127.0.0.1:1"]
entry = { port = 0 }
operator = { port = 0 }
peer = { port = 0 }
platform = { log_url = "${log.url}", vm_list_url = "${log.url}" }
`);
    listsFile = await writeTestFile('lists.toml', Testkit.DEMO_LISTS);
  });
  afterEach(async () => {
    await log.close();
    await fs.rm(directory, { recursive: true });
  });

  test('reports the file, line and key of an undefined name and exits with status 2', async () => {
    const invalidLists = Testkit.DEMO_LISTS.replace('plan = "shop"', 'plan = "shoe"');
    const line = invalidLists.split('\n').indexOf('plan = "shoe"') + 1;
    const file = await writeTestFile('wrong.toml', invalidLists);
    const result = await run('config', 'validate', file);
    expect(result.status).toBe(2);
    expect(result.error).toContain(`${file}:${line}: accounts[0].plan: found "shoe"`);
  });

  test('appends nothing to the log when the lists to publish are not valid', async () => {
    const file = await writeTestFile('wrong.toml', 'plans = 3');
    expect((await run('--settings', settingsFile, 'config', 'publish', file)).status).toBe(2);
    expect(log.countAppends()).toBe(0);
  });

  test('config show returns published lists without a difference', async () => {
    expect(await runJson('config', 'publish', listsFile)).toMatchObject({
      status: 0, value: { version: 1 },
    });
    const exported = await run('--settings', settingsFile, 'config', 'show');
    const exportedFile = await writeTestFile('again.toml', exported.out);
    expect(await runJson('config', 'publish', exportedFile)).toMatchObject({
      status: 0, value: { changes: [], version: 2 },
    });
  });

  test('reports the differences and publishes nothing after a conflicting edit', async () => {
    await runJson('config', 'publish', listsFile);
    const editedFile = await writeTestFile(
      'mine.toml',
      Testkit.DEMO_LISTS.replace('weight = 3.0', 'weight = 4'),
    );
    const rejected = await runJson('config', 'publish', editedFile, '--base', '0');
    expect(rejected.status).toBe(1);
    expect(rejected.value.error.details.difference).toEqual([{
      change: 'changed',
      fields: [{ after: 4, before: 3, field: 'weight' }],
      id: 'chain',
      list: 'plans',
    }]);
    const history = await runJson('config', 'history');
    expect(history.value.map(({ reason }: { reason: string }) => reason))
      .toEqual(['accepted', 'stale-base']);
    expect((await runJson('config', 'show')).value.version).toBe(1);
  });

  test('reads the lists from a snapshot after older records have expired', async () => {
    await runJson('config', 'publish', listsFile);
    const { value: issued } = await runJson('key', 'issue', '--account', 'fan-shop');
    const state = log.listEntries('config')
      .reduce((before, entry) => Config.reduceConfig(before, entry), Config.initialConfigState);
    log.append('config', [Log.createRecord(
      { daemonId: 'd', incarnation: '1-a' },
      Config.CONFIG_KINDS.snapshot,
      Config.buildSnapshot(state),
    )]);
    log.expireBefore('config', 2);
    expect((await runJson('config', 'show')).value.version).toBe(1);
    expect((await runJson('key', 'withdraw', issued.keyId)).status).toBe(0);
  });

  test('fails when records have expired and no snapshot replaces them', async () => {
    await runJson('config', 'publish', listsFile);
    await runJson('key', 'issue', '--account', 'fan-shop');
    log.expireBefore('config', 1);
    expect((await runJson('config', 'show')).status).toBe(1);
  });

  test('publishes once and reports success when the response to the append was lost', async () => {
    log.faults.set([{ kind: 'lost-answer', operation: 'append' }]);
    expect((await runJson('config', 'publish', listsFile)).status).toBe(0);
    expect(log.countAppends()).toBe(1);
  });

  test('does not write the secret of an issued key to the log', async () => {
    await runJson('config', 'publish', listsFile);
    const { value } = await runJson('key', 'issue', '--account', 'fan-shop');
    const secret = value.key.split('_').slice(2).join('_');
    expect(JSON.stringify(log.listEntries('config'))).toContain(value.keyId);
    expect(JSON.stringify(log.listEntries('config'))).not.toContain(secret);
    expect((await runJson('key', 'withdraw', value.keyId)).status).toBe(0);
    expect((await runJson('key', 'withdraw', value.keyId)).status).toBe(0);
  });

  test('rejects unknown accounts and unknown key ids with exit status 2', async () => {
    await runJson('config', 'publish', listsFile);
    expect((await runJson('key', 'issue', '--account', 'nobody')).status).toBe(2);
    expect((await runJson('key', 'withdraw', 'abcdef012345')).status).toBe(2);
  });

  test.each([
    [['nonsense']],
    [['config']],
    [['config', 'publish']],
    [['config', 'publish', 'lists.toml', '--base', 'x']],
    [['config', 'show']],
    [['status', '--unknown']],
    [['--settings', '/does/not/exist', 'status']],
  ])('exits with status 2 on invalid arguments %j', async (args) => {
    expect((await run(...args)).status).toBe(2);
  });

  test('exits with status 1 when no daemon answers', async () => {
    expect((await runJson('status')).status).toBe(1);
    expect((await runJson('explain', 'r1')).status).toBe(1);
  });

  test('shows examples in the help of a command', async () => {
    const help = await run('config', 'publish', '--help');
    expect(help.status).toBe(0);
    expect(help.out).toContain('config publish lists.toml --base 7');
  });
});
