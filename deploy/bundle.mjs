/** Bundles the programs for the platform into single files in `target/`. */
import {build} from 'esbuild';
import {join} from 'node:path';

const packages = join(import.meta.dirname, '..', 'packages');

/** Takes the packages of the workspace from their sources. */
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
  // An optional native part of the codec, which works without it.
  external: ['msgpackr-extract'],
  plugins: [workspace],
  logLevel: 'warning',
});
