/** HTTP adapters for the log, the instance list and the targets of the platform. */
export {};
