/**
 * Compressed form of finished jobs. They are rarely read, so they are kept in
 * memory as compressed JSON. This form never leaves the process.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {Job} from './job.js';

/**
 * Preset dictionary with text that most jobs share, so that small jobs compress
 * well too. Text that is missing here only costs memory.
 */
const COMPRESSION_DICTIONARY = Buffer.from(
  '"placed within the guarantee of ","reason":{"code":"placed-borrowed","details":{"targets":"","workspace":"' +
    '"reason":{"code":"task-failed","details":{"problem":"","target":"","task":' +
    '"reason":{"code":"preempted-reclaim","details":{"workspace":"' +
    '"cancelReason":{"code":"cancelled","details":{"by":"' +
    '"outcome":"succeeded","failed","cancelled","lost","not-run",' +
    '{"approved":false,"assignments":[],"attempts":1,"bodyHash":"","cancelRequested":false,"domain":"","failures":[],' +
    '"finishedAt":17,"finishedOffset":,"guaranteed":true,"history":[{"at":17,"event":"submitted","by":"","reason":' +
    '{"code":"routed-capacity","details":{"domain":""}}},{"at":17,"event":"placed","by":"","reason":' +
    '{"code":"placed-guaranteed","details":{"targets":"","workspace":""}}},{"at":17,"event":"finished","by":"","reason":' +
    '{"code":"finished","details":{"tasks":}}}],"jobId":"job-","lastReason":{"code":"finished","details":{"tasks":}},' +
    '"mayHaveRun":true,"moveIds":[],"outcome":"succeeded","phase":"finished","placedAt":17,"progressSeconds":0,' +
    '"request":{"requestId":"","workspace":"","gang":{"tasks":,"perTask":{"accelerators":1,"processors":,"memoryMb":},' +
    '"adjacency":"domain"},"expectedSeconds":,"repeatable":true,"urgent":false,"checkpointable":false,"kind":"default",' +
    '"createdAt":17,"payload":{}},"resultHash":"","startedAt":17,"submittedAt":17,"submittedOffset":,' +
    '"term":{"log":,"outage":0,"instance":""}}',
);

/** Small window and memory level, since the default buffers of zlib are larger than a job. */
const DEFLATE_OPTIONS = {
  level: 3,
  windowBits: 12,
  memLevel: 5,
  dictionary: COMPRESSION_DICTIONARY,
};

/** A compressed finished job, with the fields that are often read. */
export interface PackedJob {
  readonly requestId: string;
  /** Start of the request window, in milliseconds since the Unix epoch. */
  readonly rememberedFrom: number;
  /** The compressed job without its results, one byte per character. */
  readonly data: string;
  /** The compressed results; undefined when there are none or they were dropped. */
  results?: string;
  /** Size of the results as JSON; 0 when there are none. */
  readonly resultBytes: number;
}

/** Compresses a finished job. */
export function packJob(job: Job): PackedJob {
  const {results, ...rest} = job;
  const resultsJson = results && JSON.stringify(results);
  return {
    requestId: job.request.requestId,
    rememberedFrom: Math.max(job.finishedAt ?? 0, job.request.createdAt),
    data: packText(JSON.stringify(rest)),
    results: resultsJson && packText(resultsJson),
    resultBytes: resultsJson ? Buffer.byteLength(resultsJson) : 0,
  };
}

/** Decompresses a job, as a new object. */
export function unpackJob({data, results}: PackedJob): Job {
  const job = JSON.parse(unpackText(data)) as Job;
  if (results !== undefined) {
    job.results = JSON.parse(unpackText(results)) as unknown[];
  }
  return job;
}

function packText(text: string): string {
  return deflateRawSync(text, DEFLATE_OPTIONS).toString('latin1');
}

function unpackText(packed: string): string {
  return inflateRawSync(
    Buffer.from(packed, 'latin1'),
    DEFLATE_OPTIONS,
  ).toString();
}
