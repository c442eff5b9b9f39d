import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['**/gen/**', '**/dist/**', '**/coverage/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  {
    rules: {
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // effect and the tagged errors name their discriminator `_tag`.
      'no-underscore-dangle': ['error', { allow: ['_tag'] }],
      // Names of effect's pure synchronous functions, which do no blocking input or output.
      'n/no-sync': ['error', {
        ignores: [
          'decodeSync',
          'decodeUnknownSync',
          'encodeSync',
          'encodeUnknownSync',
          'formatErrorSync',
          'formatIssueSync',
          'runSync',
        ],
      }],
      // The typed errors of a module stand beside the interface that fails with them.
      'max-classes-per-file': ['error', 8],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_$' }],
    },
  },
  {
    files: ['*.config.*', 'packages/*/bin/*.js'],
    rules: { 'import-x/no-default-export': 'off', 'import-x/no-unresolved': 'off' },
  },
  {
    files: ['**/__tests__/**', 'build/**'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
].flat();
