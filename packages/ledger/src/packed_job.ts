/**
 * Finished jobs are rarely read, so memory holds them as compressed JSON. The
 * form never leaves the process.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {Job} from './job.js';

/**
 * Text that most jobs share, so that small jobs compress well too. A text
 * that is not in it costs bytes, not correctness.
 */
const DICTIONARY = Buffer.from(
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

/** Small windows: the buffers of the library cost more than a job is long. */
const PACKING = {level: 3, windowBits: 12, memLevel: 5, dictionary: DICTIONARY};

/** A finished job, and what is asked of it often. */
export interface PackedJob {
  readonly requestId: string;
  /** Milliseconds since the Unix epoch from which the window of the request id counts. */
  readonly rememberedFrom: number;
  /** The job without its results, one byte a character. */
  readonly data: string;
  /** The results; absent when they were dropped. */
  results?: string;
  /** Bytes of the results as JSON; 0 when there are none. */
  readonly resultBytes: number;
}

/** Packs a finished job. */
export function packJob(job: Job): PackedJob {
  const {results, ...rest} = job;
  const text = results && JSON.stringify(results);
  return {
    requestId: job.request.requestId,
    rememberedFrom: Math.max(job.finishedAt ?? 0, job.request.createdAt),
    data: packText(JSON.stringify(rest)),
    results: text && packText(text),
    resultBytes: text ? Buffer.byteLength(text) : 0,
  };
}

/** The job, as a new object. */
export function unpackJob({data, results}: PackedJob): Job {
  const job = JSON.parse(unpackText(data)) as Job;
  if (results !== undefined) {
    job.results = JSON.parse(unpackText(results)) as unknown[];
  }
  return job;
}

function packText(text: string): string {
  return deflateRawSync(text, PACKING).toString('latin1');
}

function unpackText(packed: string): string {
  return inflateRawSync(Buffer.from(packed, 'latin1'), PACKING).toString();
}
