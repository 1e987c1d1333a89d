/** Benchmarks: policy, decision time, slopes and the whole path. */
export {};
