/** Runs a benchmark by name: `npm run bench NAME -- [--json]`. */
await import('../packages/bench/dist/src/main.js');
