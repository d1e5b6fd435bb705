import {defineConfig} from 'vitest/config';

/**
 * Tests that bound the memory of real processes beside crowds of clients. They
 * run one at a time and after the other tests, so that no other load changes
 * what is measured.
 */
export default defineConfig({
  test: {
    include: [
      '{packages/testkit,platform}/test/crowds/*.test.ts',
      'platform/test/soak/*.test.ts',
    ],
    fileParallelism: false,
    maxWorkers: 1,
    testTimeout: 180_000,
    hookTimeout: 60_000,
  },
});
