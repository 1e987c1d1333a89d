/** Runs the benchmark NAME: `npm run bench NAME -- [--json]`. */
await import('../packages/bench/dist/src/main.js');
