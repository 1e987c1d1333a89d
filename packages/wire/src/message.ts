/** Messages of the peer protocol, and their compact encoding in CBOR. */
import {Encoder, setSizeLimits} from 'cbor-x';
import * as z from 'zod';
import {Failure, type FailureDetails, describeError} from '@galenavalve/shared';

/** Version of the peer protocol; both sides must use the same. */
export const WIRE_VERSION = 1;

/** First message of each side. */
export interface Hello {
  type: 'hello';
  version: number;
  /** Name of the sending instance. */
  from: string;
  /** Name of the instance that the sender expects at the other side. */
  to: string;
}

/** Calls a method of the other side; the response or refusal has the same correlation id. */
export interface Request {
  type: 'request';
  id: number;
  method: string;
  /** Time after receipt at which the response is no longer of use. */
  timeoutMs: number;
  body: unknown;
}

/** Result of a request. */
export interface Response {
  type: 'response';
  id: number;
  body: unknown;
}

/** Failure of a request. */
export interface Refusal {
  type: 'refusal';
  id: number;
  code: string;
  details: FailureDetails;
}

/** Call of a method without a response. */
export interface Notification {
  type: 'notification';
  method: string;
  body: unknown;
}

/** Heartbeat; the other side replies with a pong. */
export interface Ping {
  type: 'ping';
}

/** Reply to a ping. */
export interface Pong {
  type: 'pong';
}

/** Any message. */
export type Message =
  Hello | Request | Response | Refusal | Notification | Ping | Pong;

const id = z.int().nonnegative();
const method = z.string().max(64);
const instance = z.string().max(100);
const details = z.record(
  z.string().max(100),
  z.union([z.string().max(4000), z.number(), z.boolean()]),
);

/** Compact forms of the messages; the first element identifies the type. */
const compactMessage = z.union([
  z.tuple([z.literal(0), z.int(), instance, instance]),
  z.tuple([z.literal(1), id, method, z.number().positive(), z.unknown()]),
  z.tuple([z.literal(2), id, z.unknown()]),
  z.tuple([z.literal(3), id, z.string().max(64), details]),
  z.tuple([z.literal(4), method, z.unknown()]),
  z.tuple([z.literal(5)]),
  z.tuple([z.literal(6)]),
]);
type CompactMessage = z.infer<typeof compactMessage>;

/** Maximum number of elements of one array or map, for the decoder. */
const MAX_COLLECTION_ELEMENTS = 65_536;
setSizeLimits({
  maxArraySize: MAX_COLLECTION_ELEMENTS,
  maxMapSize: MAX_COLLECTION_ELEMENTS,
  maxObjectSize: MAX_COLLECTION_ELEMENTS,
});

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
  copyBuffers: true,
});

/** Encodes a message as the payload of a frame. */
export function encodeMessage(message: Message): Buffer {
  return codec.encode(toCompact(message));
}

/** Decodes a payload. Throws `frame-invalid` when it is not a message. */
export function decodeMessage(payload: Buffer): Message {
  const parsed = compactMessage.safeParse(decodeValue(payload));
  if (!parsed.success) {
    throw new Failure('frame-invalid', {
      problem: 'the payload is not a message',
    });
  }
  return fromCompact(parsed.data);
}

function decodeValue(payload: Buffer): unknown {
  try {
    return codec.decode(payload);
  } catch (error) {
    throw new Failure('frame-invalid', {problem: describeError(error)});
  }
}

function toCompact(message: Message): CompactMessage {
  switch (message.type) {
    case 'hello':
      return [0, message.version, message.from, message.to];
    case 'request':
      return [1, message.id, message.method, message.timeoutMs, message.body];
    case 'response':
      return [2, message.id, message.body];
    case 'refusal':
      return [3, message.id, message.code, message.details];
    case 'notification':
      return [4, message.method, message.body];
    case 'ping':
      return [5];
    case 'pong':
      return [6];
  }
}

function fromCompact(compact: CompactMessage): Message {
  switch (compact[0]) {
    case 0:
      return {
        type: 'hello',
        version: compact[1],
        from: compact[2],
        to: compact[3],
      };
    case 1:
      return {
        type: 'request',
        id: compact[1],
        method: compact[2],
        timeoutMs: compact[3],
        body: compact[4],
      };
    case 2:
      return {type: 'response', id: compact[1], body: compact[2]};
    case 3:
      return {
        type: 'refusal',
        id: compact[1],
        code: compact[2],
        details: compact[3],
      };
    case 4:
      return {type: 'notification', method: compact[1], body: compact[2]};
    case 5:
      return {type: 'ping'};
    case 6:
      return {type: 'pong'};
  }
}
