/** Bundles the program that runs on the users' platform into target/. */
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
  // An instance pays for its memory: the text of the program is a part of it. Names stay for the logs.
  minifyWhitespace: true,
  minifySyntax: true,
  // The codec without its native part, which a bundle of one file cannot carry.
  alias: {'cbor-x': fileURLToPath(import.meta.resolve('cbor-x/decode'))},
  banner: {
    // Packages in the older module format expect these names.
    js: "import {createRequire as makeRequire} from 'node:module';import {fileURLToPath as toPath} from 'node:url';const require=makeRequire(import.meta.url);const __filename=toPath(import.meta.url);const __dirname=__filename.slice(0,__filename.lastIndexOf('/'));",
  },
});
