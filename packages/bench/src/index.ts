/** Benchmark program without a library interface; its command line is in main.ts. */
export {};
