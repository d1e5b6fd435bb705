import gts from 'gts';

export default [
  {ignores: ['**/dist/', '**/node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: './tsconfig.check.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // Workspace packages resolve through their built output, which the
      // linter must not depend on; the compiler checks these imports.
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      // Destructuring is how a row is left out of an immutable record.
      '@typescript-eslint/no-unused-vars': [
        'error',
        {ignoreRestSiblings: true},
      ],
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
