/**
 * Builds the daemon of the platform into target/: an entry point, the program, and a cache of its
 * compiled code. A VM with a third of a core starts the daemon in half of the time so.
 *
 * The program is bundled as an ES module, because its modules await at the top level, and then
 * wrapped into one asynchronous function, because only scripts can be compiled from a cache.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as esbuild from 'esbuild';

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const TARGET = path.join(ROOT, 'target');

const SHARED_OPTIONS = {
  bundle: true,
  logLevel: 'warning',
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  write: false,
};

/** The cache fits only a process with the same limit of its heap; deploy/system.toml has it. */
const HEAP_OPTION = '--max-old-space-size=160';

/** Settings of the daemon that runs for a moment: it reaches nobody and nobody reaches it. */
const SETTINGS = `
daemon_id = "build"
data_centre = "build"
[listen]
entry = "127.0.0.1:0"
readiness = "127.0.0.1:0"
metrics = "127.0.0.1:0"
peers = "127.0.0.1:0"
[bounds]
key_withdrawal_ms = 5000
drain_ms = 2000
grace_s = 8
lease_ms = 3000
usage_window_s = 5
[repeats]
share = 0.2
slack = 56
[platform]
store_address = "127.0.0.1:1"
duty_address = "127.0.0.1:1"
`;

/** Imports of built-in modules, the only ones that a bundle keeps. */
const IMPORT_LINE = /^import (.+) from "([\w:/]+)";$/gm;
const SIDE_EFFECT_IMPORT_LINE = /^import "[\w:/]+";$/gm;

function formatRequire(bindings, name) {
  const namespace = /^\* as (\S+)$/.exec(bindings);
  if (namespace !== null) return `const ${namespace[1]} = require("${name}");`;
  const names = bindings.startsWith('{') ? bindings.replaceAll(' as ', ': ') : bindings;
  return `const ${names} = require("${name}");`;
}

async function buildBundle(file, options) {
  const { outputFiles } = await esbuild.build({
    ...SHARED_OPTIONS, ...options, entryPoints: [path.join(ROOT, 'platform', 'dist', file)],
  });
  return outputFiles[0].text;
}

async function buildProgram() {
  const text = await buildBundle('Program.js', {
    define: { 'import.meta': 'programMeta' }, format: 'esm',
  });
  const body = text
    .replace(SIDE_EFFECT_IMPORT_LINE, '')
    .replace(IMPORT_LINE, (_, bindings, name) => formatRequire(bindings, name));
  // The entry point calls this function with its own `require` and `import.meta`.
  return `(async (require, programMeta) => {\n${body}\n})`;
}

await fs.mkdir(TARGET, { recursive: true });
await fs.rm(path.join(TARGET, 'program.cache'), { force: true });
await fs.writeFile(path.join(TARGET, 'program.js'), await buildProgram());
const entryPoint = await buildBundle('main.js', { format: 'cjs' });
await fs.writeFile(path.join(TARGET, 'router.cjs'), entryPoint);
// Functions that ran are in the cache as well, so a daemon runs for a moment without a platform.
const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-build-'));
const settings = path.join(folder, 'settings.toml');
await fs.writeFile(settings, SETTINGS);
await util.promisify(childProcess.execFile)(
  process.execPath,
  [HEAP_OPTION, path.join(TARGET, 'router.cjs'), '--settings', settings],
  { env: { ...process.env, BERYLYOKE_WRITE_CODE_CACHE: '1' } },
);
await fs.rm(folder, { recursive: true });
