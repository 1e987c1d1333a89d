/** Bundles the program that runs on the users' platform into target/. */
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
  banner: {
    // Packages in the older module format expect these names.
    js: "import {createRequire} from 'node:module';import {fileURLToPath as toPath} from 'node:url';const require=createRequire(import.meta.url);const __filename=toPath(import.meta.url);const __dirname=__filename.slice(0,__filename.lastIndexOf('/'));",
  },
});
