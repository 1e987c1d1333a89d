/** Configures ESLint: the Google TypeScript rules (gts), and no imports of the inner modules of other packages. */
import gts from 'gts';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      '.tap/**',
      'target/**',
      'journal/**',
    ],
  },
  ...gts,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {parserOptions: {project: null, projectService: true}},
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'no-restricted-imports': ['error', {patterns: ['@galenavalve/*/*']}],
    },
  },
  {
    // tap queues subtests, so specs do not have to await them.
    files: ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
  {
    files: ['scripts/**/*.mjs', '*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {
        process: 'readonly',
        console: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
      },
    },
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];
