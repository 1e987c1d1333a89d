/** Peers, configuration freshness, terms and rack shards. */

// The platform's list of instances
export * from './instance_list.js';
