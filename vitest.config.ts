import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['{packages/*,platform}/test/**/*.test.ts'],
    testTimeout: 30_000,
    // Several scenarios start real processes, which more test workers would
    // starve.
    maxWorkers: 6,
  },
});
