/** Encodes a state as a snapshot: compressed sections with a checksum. */
import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Failure, describeError} from '@galenavalve/shared';
import {type LedgerOptions, LedgerState} from '../state.js';
import {captureState} from './capture.js';
import {
  type Section,
  SNAPSHOT_FORMAT_VERSION,
  applySection,
  createSections,
} from './sections.js';

/** Low level, since compression blocks the event loop for each section. */
const COMPRESSION_LEVEL = 3;

/** An encoded state at one offset. */
export interface Snapshot {
  snapshotId: string;
  /** The snapshot includes the effect of every record before this offset. */
  nextOffset: number;
  /** Sections as compressed JSON in base64. */
  sections: string[];
  /** SHA-256 of the sections, in hexadecimal. */
  hash: string;
}

/** Encodes a state synchronously. */
export function encodeState(state: LedgerState, snapshotId: string): Snapshot {
  const sections = [...createSections(captureState(state))].map(compress);
  return createSnapshot(snapshotId, state.nextOffset, sections);
}

/**
 * Encodes a state and yields to the event loop between sections. The snapshot
 * is of the state at the call; the state may change during the encoding.
 */
export async function encodeStateAsync(
  state: LedgerState,
  snapshotId: string,
): Promise<Snapshot> {
  const capture = captureState(state);
  const sections: string[] = [];
  for (const text of createSections(capture)) {
    sections.push(compress(text));
    await new Promise(resolve => setImmediate(resolve));
  }
  return createSnapshot(snapshotId, capture.nextOffset, sections);
}

/**
 * Decodes a state. Throws `snapshot-invalid` when the snapshot is damaged or of
 * an unsupported format.
 */
export function decodeState(
  snapshot: Snapshot,
  options: Partial<LedgerOptions> = {},
): LedgerState {
  const {snapshotId, nextOffset, sections, hash} = snapshot;
  if (hashSections(sections) !== hash) {
    throw createInvalidFailure(snapshotId, 'checksum mismatch');
  }
  const state = new LedgerState(options);
  try {
    for (const data of sections) {
      applySection(state, decompress(data));
    }
  } catch (error) {
    throw createInvalidFailure(snapshotId, describeError(error));
  }
  if (state.nextOffset !== nextOffset) {
    throw createInvalidFailure(
      snapshotId,
      `its header has another offset: ${state.nextOffset}`,
    );
  }
  return state;
}

/** Computes the SHA-256 of sections, in hexadecimal. */
export function hashSections(sections: readonly string[]): string {
  const hash = createHash('sha256');
  for (const section of sections) {
    hash.update(section).update('\n');
  }
  return hash.digest('hex');
}

function createSnapshot(
  snapshotId: string,
  nextOffset: number,
  sections: string[],
): Snapshot {
  return {snapshotId, nextOffset, sections, hash: hashSections(sections)};
}

function compress(text: string): string {
  const options = {level: COMPRESSION_LEVEL};
  return deflateRawSync(text, options).toString('base64');
}

function decompress(data: string): Section {
  const text = inflateRawSync(Buffer.from(data, 'base64')).toString();
  const section = JSON.parse(text) as Section;
  if (section.kind === 'header' && section.format !== SNAPSHOT_FORMAT_VERSION) {
    throw new Error(`unsupported snapshot format ${section.format}`);
  }
  return section;
}

function createInvalidFailure(snapshotId: string, problem: string): Failure {
  return new Failure('snapshot-invalid', {snapshotId, problem});
}
