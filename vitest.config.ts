import {configDefaults, defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['{packages/*,platform}/test/**/*.test.ts'],
    // These run one at a time, with vitest.crowds.config.ts.
    exclude: [
      ...configDefaults.exclude,
      '{packages/testkit,platform}/test/crowds/**',
      'platform/test/soak/**',
    ],
    testTimeout: 30_000,
    // Several scenarios start real processes, which more test workers would
    // starve.
    maxWorkers: 6,
  },
});
