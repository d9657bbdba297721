import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'scripts/', 'eslint.config.js'] },
  eslint.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    rules: {
      'max-lines': ['error', { max: 400, skipComments: true, skipBlankLines: true }],
      'no-constant-condition': ['error', { checkLoops: false }],
    },
  },
);
