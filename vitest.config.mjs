import fs from 'node:fs/promises';
import path from 'node:path';
import url from 'node:url';
import { configDefaults, defineConfig } from 'vitest/config';

const root = path.dirname(url.fileURLToPath(import.meta.url));
const packages = await fs.readdir(path.join(root, 'packages'));

/** Tests that vitest.load.config.mjs runs, after all others. */
export const LOAD_TESTS = '{packages/*,platform}/src/__tests__/**/*.load.test.ts';

export default defineConfig({
  resolve: {
    alias: [...packages.map((name) => `packages/${name}`), 'platform'].map((folder) => ({
      find: `@berylyoke/${path.basename(folder)}`,
      replacement: path.join(root, folder, 'src', 'index.ts'),
    })),
  },
  test: {
    exclude: [...configDefaults.exclude, LOAD_TESTS],
    include: ['packages/*/src/__tests__/**/*.test.ts', 'platform/src/__tests__/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
