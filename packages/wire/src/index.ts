/** TCP frames with cbor-x: correlation, heartbeats and deadlines. */
export {};
