/**
 * Stand-in for the platform's store: a log of topics with one partition each.
 * It serves `log-append`, `log-read` and `log-newest` and keeps everything in
 * memory. A test may give each append a fate with `decideAppend`.
 */
import {createServer} from 'node:http';

/** Limits of the platform's settings. */
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
/** Time of one append and of one answer, in milliseconds. */
const APPEND_MS = 2;
const ANSWER_MS = 2;
/** Appends of a producer whose responses are repeated. */
const KEPT_RESPONSES = 5;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class Store {
  topics = new Map();
  /**
   * Called for each append; returns `{lateMs}` for an append that gets no
   * response and is carried out after that time, nothing for a usual one.
   */
  decideAppend = () => undefined;
  /** Whether the store is down: it answers no call and accepts no writing. */
  isDown = false;
  /** Called when records are in the log. */
  onAppended = () => {};

  async start() {
    this.server = createServer((request, response) => {
      this.respond(request, response).catch(() => request.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a record as the operator or a worker. */
  write(topicName, key, value) {
    if (this.isDown) {
      return;
    }
    const topic = this.findTopic(topicName);
    this.add(topic, [{key, value: Buffer.from(value)}]);
  }

  findTopic(name) {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = {
        name,
        records: [],
        newest: new Map(),
        producers: new Map(),
        waiters: new Set(),
        queue: Promise.resolve(),
      };
      this.topics.set(name, topic);
    }
    return topic;
  }

  add(topic, records) {
    const offset = topic.records.length;
    for (const record of records) {
      const stored = {...record, offset: topic.records.length};
      topic.records.push(stored);
      if (record.value.length === 0) {
        topic.newest.delete(record.key);
      } else {
        topic.newest.set(record.key, stored);
      }
    }
    this.onAppended(topic.name, records, offset);
    topic.waiters.forEach(wake => wake());
    return offset;
  }

  async respond(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const body = Buffer.concat(chunks);
    const reply = this.isDown ? undefined : await this.handle(url, body);
    if (!reply || this.isDown) {
      // The connection returns nothing further.
      return;
    }
    await sleep(ANSWER_MS);
    response.statusCode = reply.status;
    response.end(
      Buffer.isBuffer(reply.body) ? reply.body : JSON.stringify(reply.body),
    );
  }

  async handle(url, body) {
    const topic = this.findTopic(url.searchParams.get('topic') ?? '');
    switch (url.pathname) {
      case '/v1/log-append':
        return this.handleAppend(topic, url.searchParams, body);
      case '/v1/log-read':
        return this.handleRead(topic, url.searchParams);
      case '/v1/log-newest':
        return this.handleNewest(topic, url.searchParams);
      default:
        return {status: 404, body: {}};
    }
  }

  async handleAppend(topic, query, body) {
    const records = decodeRecords(body);
    if (!records || body.length > MAX_CALL_BYTES) {
      return {status: 400, body: {}};
    }
    const fate = this.decideAppend(topic.name, records);
    if (fate?.lateMs !== undefined) {
      void sleep(fate.lateMs).then(() => this.execute(topic, query, records));
      return undefined;
    }
    return this.execute(topic, query, records);
  }

  /** Carries appends of a topic out one at a time. */
  execute(topic, query, records) {
    const result = topic.queue.then(async () => {
      await sleep(APPEND_MS);
      return this.append(topic, query, records);
    });
    topic.queue = result;
    return result;
  }

  append(topic, query, records) {
    const end = topic.records.length;
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const seq = Number(query.get('seq'));
    const known = producer ? topic.producers.get(producer) : undefined;
    if (known && epoch < known.epoch) {
      return {status: 409, body: {reason: 'fenced'}};
    }
    if (known && epoch === known.epoch) {
      const repeated = known.responses.find(item => item.seq === seq);
      if (repeated) {
        return repeated.response;
      }
      if (seq !== known.seq + 1) {
        return {status: 409, body: {reason: 'seq', seq: known.seq + 1}};
      }
    }
    if (query.has('at') && Number(query.get('at')) !== end) {
      return {status: 412, body: {end}};
    }
    const offset = this.add(topic, records);
    const response = {
      status: 200,
      body: {offset, end: topic.records.length},
    };
    if (producer) {
      const responses = known?.epoch === epoch ? known.responses : [];
      topic.producers.set(producer, {
        epoch,
        seq,
        responses: [...responses, {seq, response}].slice(-KEPT_RESPONSES),
      });
    }
    return response;
  }

  async handleRead(topic, query) {
    const from = Number(query.get('from'));
    const maxBytes = Number(query.get('max_kb') ?? 1024) * 1024;
    const wait = Number(query.get('wait_ms') ?? 0);
    if (topic.records.length <= from && wait > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, wait);
        topic.waiters.add(wake);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    let size = 0;
    for (const record of topic.records.slice(from)) {
      const encoded = encodeRecord(record);
      if (size > 0 && size + encoded.length > maxBytes) {
        break;
      }
      size += encoded.length;
      parts.push(encoded);
    }
    return {status: 200, body: Buffer.concat(parts)};
  }

  async handleNewest(topic, query) {
    const after = query.get('depends_on') ?? '';
    const keys = [...topic.newest.keys()].filter(key => key > after).sort();
    const items = [];
    let size = 0;
    for (const key of keys) {
      const {value, offset} = topic.newest.get(key);
      if (items.length >= MAX_PAGE_ITEMS || size > MAX_PAGE_BYTES) {
        break;
      }
      size += value.length;
      items.push({key, value: value.toString('base64'), offset});
    }
    return {
      status: 200,
      body: {
        items,
        has_more: items.length < keys.length,
        end: topic.records.length,
      },
    };
  }
}

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head[4] = keyBytes.length;
  return Buffer.concat([head, keyBytes, value]);
}

/** Decodes the records of an append; undefined if one is longer than allowed. */
function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    const length = body.readUInt32BE(position);
    if (length > MAX_RECORD_BYTES) {
      return undefined;
    }
    const content = body.subarray(position + 4, position + 4 + length);
    const keyLength = content[0];
    records.push({
      key: content.toString('utf8', 1, 1 + keyLength),
      value: Buffer.from(content.subarray(1 + keyLength)),
    });
    position += 4 + length;
  }
  return records;
}
