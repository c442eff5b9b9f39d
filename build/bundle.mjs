/**
 * Builds the daemon for the platform into target/: an entry point, the program, and a V8 code cache
 * of the program. The cache halves the start time on a VM with a third of a core.
 *
 * The program is bundled as an ES module, because its modules use top-level await. The bundle is
 * then wrapped in an asynchronous function, because only scripts can be loaded from a code cache.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as esbuild from 'esbuild';

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const TARGET_FOLDER = path.join(ROOT, 'target');

const SHARED_OPTIONS = {
  bundle: true,
  logLevel: 'warning',
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  write: false,
};

/** The cache matches only processes with the same heap limit, which deploy/system.toml sets. */
const HEAP_OPTION = '--max-old-space-size=160';

/** Settings of the daemon that writes the cache; it can reach no platform and no other daemon. */
const CACHE_RUN_SETTINGS = `
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

/** Imports of built-in modules, the only imports that esbuild leaves in a bundle. */
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
  const bundle = await buildBundle('Program.js', {
    define: { 'import.meta': 'programMeta' }, format: 'esm',
  });
  const body = bundle
    .replace(SIDE_EFFECT_IMPORT_LINE, '')
    .replace(IMPORT_LINE, (_, bindings, name) => formatRequire(bindings, name));
  // The entry point calls this function with its own `require` and a replacement of `import.meta`.
  return `(async (require, programMeta) => {\n${body}\n})`;
}

await fs.mkdir(TARGET_FOLDER, { recursive: true });
await fs.rm(path.join(TARGET_FOLDER, 'program.cache'), { force: true });
await fs.writeFile(path.join(TARGET_FOLDER, 'program.js'), await buildProgram());
const entryPoint = await buildBundle('main.js', { format: 'cjs' });
await fs.writeFile(path.join(TARGET_FOLDER, 'router.cjs'), entryPoint);
// The cache includes functions that have run, so a daemon runs for a short time, with no platform.
const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'berylyoke-build-'));
const settingsFile = path.join(folder, 'settings.toml');
await fs.writeFile(settingsFile, CACHE_RUN_SETTINGS);
await util.promisify(childProcess.execFile)(
  process.execPath,
  [HEAP_OPTION, path.join(TARGET_FOLDER, 'router.cjs'), '--settings', settingsFile],
  { env: { ...process.env, BERYLYOKE_WRITE_CODE_CACHE: '1' } },
);
await fs.rm(folder, { recursive: true });
