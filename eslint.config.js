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
      // Workspace packages resolve to their build output, which linting must
      // not require; the compiler checks these imports.
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      // Destructuring with a rest element copies a record without one of its
      // properties; the variable of the omitted property is unused.
      '@typescript-eslint/no-unused-vars': [
        'error',
        {ignoreRestSiblings: true},
      ],
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
