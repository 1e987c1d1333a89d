/** Tokens of the dependency injection container. */
export const tokens = {
  settings: Symbol('settings'),
  clock: Symbol('clock'),
  logger: Symbol('logger'),
  random: Symbol('random'),
  /** The platform's log, without the record cache. */
  platformLog: Symbol('platform log'),
  /** The log as the ledger reads it; caches the records read, to serve them to peers that cannot reach the log. */
  log: Symbol('log'),
  recordCache: Symbol('record cache'),
  ledgerOptions: Symbol('ledger options'),
  /** The platform's instance list. */
  platformList: Symbol('platform list'),
  /** The instance list as the daemon reads it, with listeners. */
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
