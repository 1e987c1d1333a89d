/** The Google TypeScript rules (gts), and the direction in which packages may depend on each other. */
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
    // tap queues subtests by itself; a spec need not await them.
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
