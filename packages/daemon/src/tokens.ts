/** Names of the parts in the container. */
export const tokens = {
  settings: Symbol('settings'),
  clock: Symbol('clock'),
  logger: Symbol('logger'),
  random: Symbol('random'),
  /** The platform's log itself. */
  platformLog: Symbol('platform log'),
  /** The log as the ledger reads it; what is read is kept for peers. */
  log: Symbol('log'),
  recordCache: Symbol('record cache'),
  ledgerOptions: Symbol('ledger options'),
  /** The platform's list itself. */
  platformList: Symbol('platform list'),
  /** The list as the daemon reads and observes it. */
  instanceList: Symbol('instance list'),
  targetClient: Symbol('target client'),
  policy: Symbol('policy'),
  state: Symbol('state'),
  follower: Symbol('follower'),
  writer: Symbol('writer'),
  freshness: Symbol('freshness'),
  peerServer: Symbol('peer server'),
  peerClient: Symbol('peer client'),
  mesh: Symbol('mesh'),
  context: Symbol('daemon context'),
} as const;
