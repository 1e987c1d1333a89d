/** Stand-in for the platform's store over HTTP; one per instance, so that faults can apply to single instances. */
import type {EmulatedLog} from '@galenavalve/emulator';
import {encodeRecords} from '@galenavalve/users-platform';
import type {KeyedRecord} from '@galenavalve/workload';
import {
  type Standin,
  type StandinResponse,
  type StandinRequest,
  serveHttp,
} from './http_standin.js';

/** Timeout of an append; afterwards no response is sent. */
const APPEND_TIMEOUT_MS = 1000;

/** Returns the logs by the topic names of the platform. */
export function createTopicMap(
  jobs: EmulatedLog,
  operator: EmulatedLog,
  registry: EmulatedLog,
): ReadonlyMap<string, EmulatedLog> {
  return new Map([
    ['keyed.jobs', jobs],
    ['keyed.op', operator],
    ['keyed.servers', registry],
  ]);
}

/** Serves topics to one instance. */
export function serveStore(
  topics: ReadonlyMap<string, EmulatedLog>,
  instance: string,
): Promise<Standin> {
  return serveHttp(async request => {
    const log = topics.get(request.query.get('topic') ?? '');
    if (!log) {
      return {status: 404, body: {}};
    }
    switch (request.path) {
      case '/v1/log-append':
        return handleAppend(log, instance, request);
      case '/v1/log-read':
        return handleRead(log, instance, request);
      case '/v1/log-newest':
        return handleNewest(log, instance);
      default:
        return {status: 404, body: {}};
    }
  });
}

async function handleAppend(
  log: EmulatedLog,
  instance: string,
  {query, body}: StandinRequest,
): Promise<StandinResponse> {
  const fencing = query.has('epoch')
    ? {
        epoch: Number(query.get('epoch')),
        sequence: Number(query.get('seq')),
        endsAt: query.has('at') ? Number(query.get('at')) : undefined,
      }
    : undefined;
  const records = decodeRecords(body);
  const result = await log.appendFor(
    instance,
    records,
    APPEND_TIMEOUT_MS,
    fencing,
  );
  switch (result.kind) {
    case 'appended':
      return {status: 200, body: {offset: result.offset, end: log.end}};
    case 'fenced':
      return {status: 409, body: {reason: 'fenced'}};
    case 'moved':
      return {status: 412, body: {end: log.end}};
    case 'refused':
      return {status: 503, body: {}};
    default:
      return undefined;
  }
}

async function handleRead(
  log: EmulatedLog,
  instance: string,
  {query}: StandinRequest,
): Promise<StandinResponse> {
  const from = Number(query.get('from'));
  const wait = Number(query.get('wait_ms') ?? 0);
  const page = await log.readTailFor(instance, from, wait);
  if (page.kind === 'expired') {
    return {status: 410, body: {first: log.end}};
  }
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(page.end), 0);
  return {
    status: 200,
    body: Buffer.concat([header, encodeRecords(page.records)]),
  };
}

async function handleNewest(
  log: EmulatedLog,
  instance: string,
): Promise<StandinResponse> {
  const page = await log.readNewestFor(instance);
  const items = page.records.map(({key, value, offset}) => ({
    key,
    value: Buffer.from(value).toString('base64'),
    offset,
  }));
  return {status: 200, body: {items, has_more: false, end: page.end}};
}

/** Decodes records, each a 4-byte length, a 1-byte key length, the key and the value. */
function decodeRecords(body: Buffer): KeyedRecord[] {
  const records: KeyedRecord[] = [];
  let position = 0;
  while (position < body.length) {
    const length = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + length);
    const keyLength = content[0] ?? 0;
    records.push({
      key: content.toString('utf8', 1, 1 + keyLength),
      value: content.toString('utf8', 1 + keyLength),
    });
    position += 4 + length;
  }
  return records;
}
