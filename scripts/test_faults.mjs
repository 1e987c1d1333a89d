/** Runs the fault exploration: `npm run test:faults -- --runs N --seed S`. */
await import('../packages/faults/dist/src/main.js');
