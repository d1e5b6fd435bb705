/** Bundles the platform adapter into a single file in `target/`. */
import {build} from 'esbuild';
import {join} from 'node:path';

const packages = join(import.meta.dirname, '..', 'packages');

/** Resolves imports of workspace packages to their TypeScript sources. */
const workspace = {
  name: 'workspace',
  setup({onResolve}) {
    onResolve({filter: /^@lentildrift\//}, ({path}) => ({
      path: join(packages, path.split('/')[1], 'src', 'index.ts'),
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/lentildrift.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  // Optional native addon of msgpackr, which works without the addon.
  external: ['msgpackr-extract'],
  plugins: [workspace],
  logLevel: 'warning',
});
