/** Runs the demo; `--keep` leaves its processes running. */
await import('../packages/demo/dist/src/main.js');
