import gts from 'gts';

export default [
  {ignores: ['**/dist/', '**/node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    rules: {
      // Workspace packages resolve through their built output, which the
      // linter must not depend on; the compiler checks these imports.
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
