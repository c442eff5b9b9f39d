/** Load tests: one at a time, because each measures a process and drives it as fast as it can. */
import config, { LOAD_TESTS } from './vitest.config.mjs';

export default {
  ...config,
  test: {
    ...config.test, exclude: [], fileParallelism: false, include: [LOAD_TESTS], maxWorkers: 1,
  },
};
