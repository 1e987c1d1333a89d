/** Runs the demonstration; `--keep` leaves it up. */
await import('../packages/demo/dist/src/main.js');
