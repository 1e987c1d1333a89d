/** Bundles the daemon for the users' platform into a single file in target/. */
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/galenavalved.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  legalComments: 'none',
  // Node keeps the program text in memory, so a smaller bundle saves memory on every instance. Identifiers stay readable in logs.
  minifyWhitespace: true,
  minifySyntax: true,
  // Uses the codec without its native addon, which a single-file bundle cannot contain.
  alias: {'cbor-x': fileURLToPath(import.meta.resolve('cbor-x/decode'))},
  banner: {
    // CommonJS packages expect these variables.
    js: "import {createRequire as makeRequire} from 'node:module';import {fileURLToPath as toPath} from 'node:url';const require=makeRequire(import.meta.url);const __filename=toPath(import.meta.url);const __dirname=__filename.slice(0,__filename.lastIndexOf('/'));",
  },
});
