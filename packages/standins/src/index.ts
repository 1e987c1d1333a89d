/** Small stand-ins for the platform: the log, the instance list and the targets. */
export {};
