/**
 * Format of progress in the log: a summary line that every instance reads, and
 * a line with the units that only a new leader reads when it takes over the job.
 *
 * The progress of a job of a hundred tasks is written again for each task and
 * read by every instance. The format is therefore compact, and details are
 * parsed only on demand.
 */
import * as z from 'zod';
import {
  type Occurrence,
  type JobOutcome,
  type Progress,
  type TargetReference,
  type UnitProgress,
  jobOutcomeSchema,
} from './progress.js';

const summarySchema = z.object({
  outcome: jobOutcomeSchema,
  hasBegun: z.boolean(),
  endedAt: z.number().optional(),
  /** Number of records that hold the details; absent if they follow the summary. */
  parts: z.number().int().positive().optional(),
});

type Summary = z.infer<typeof summarySchema>;

const countSchema = z.number().int().nonnegative();

/** Run, failure count, last failed run, 1 if done, checkpoint, then the index of each member's target in `targets`. Trailing items that are 0 or empty are omitted unless target indexes follow. */
const unitSchema = z
  .tuple([
    countSchema,
    countSchema.default(0),
    countSchema.default(0),
    z.union([z.literal(0), z.literal(1)]).default(0),
    z.string().default(''),
  ])
  .rest(countSchema);

const detailsSchema = z.object({
  /** Number of occurrences that have ended. */
  done: countSchema,
  /** Incarnations of targets, to which units refer by index. */
  targets: z.array(z.string()),
  /** Addresses of `targets`, in the same order, separated by spaces. */
  addresses: z.string().default(''),
  /** Crashes of targets: positions of the occurrence, step and unit, then the fields of `CrashEvidence` in their order. */
  crashes: z
    .array(
      z.tuple([
        countSchema,
        countSchema,
        countSchema,
        countSchema,
        countSchema,
        countSchema,
        countSchema,
        countSchema,
      ]),
    )
    .default([]),
  /** Incarnations whose crashes were counted, for each item of `crashes`; absent in records of earlier versions. */
  crashed: z.array(z.array(z.string())).default([]),
  /** Index and steps of each occurrence; a step is the list of its units, each a gang or a single task. A unit whose items after the run are all omitted is stored as the number of the run. */
  occurrences: z.array(
    z.tuple([
      countSchema,
      z.array(z.array(z.union([countSchema, unitSchema]))),
    ]),
  ),
});

/** Stored form of a unit, as `unitSchema` describes it. */
type StoredUnit = number | Array<number | string>;

type StoredDetails = z.infer<typeof detailsSchema>;

/** Progress whose units are parsed on demand. */
export class StoredProgress {
  readonly outcome: JobOutcome;
  readonly hasBegun: boolean;
  /** Wall-clock time of the end, in Unix milliseconds. */
  readonly endedAt?: number;
  private readonly partCount: number;

  constructor(
    summary: Summary,
    private readonly details: string,
  ) {
    this.outcome = summary.outcome;
    this.hasBegun = summary.hasBegun;
    this.endedAt = summary.endedAt;
    this.partCount = summary.parts ?? 0;
  }

  /**
   * Parses the complete progress into a new object. `parts` are the values of
   * the records with the details, if they were split, by index. Throws if a
   * record is malformed or missing.
   */
  read(parts: ReadonlyMap<number, string> = new Map()): Progress {
    const {done, targets, addresses, occurrences, crashes, crashed} =
      detailsSchema.parse(JSON.parse(this.joinDetails(parts)));
    const addressList = addresses.split(' ');
    const references = targets.map((incarnation, index) => ({
      incarnation,
      address: addressList[index] ?? '',
    }));
    const progress: Progress = {
      outcome: this.outcome,
      hasBegun: this.hasBegun,
      endedAt: this.endedAt,
      doneOccurrences: done,
      occurrences: occurrences.map(([index, steps]) => ({
        index,
        steps: steps.map(storedUnits =>
          storedUnits.map(stored => decodeUnit(stored, references)),
        ),
      })),
    };
    decodeCrashes(crashes, crashed, progress);
    return progress;
  }

  private joinDetails(parts: ReadonlyMap<number, string>): string {
    let joined = this.details;
    for (let index = 0; index < this.partCount; index++) {
      const part = parts.get(index);
      if (part === undefined) {
        throw new RangeError(`part ${index} of the progress is missing`);
      }
      joined += part;
    }
    return joined;
  }
}

/** Formats the value of the record of progress whose details are in `parts` other records. */
export function formatSplitSummary(
  {outcome, hasBegun, endedAt}: Progress,
  parts: number,
): string {
  return `${JSON.stringify({outcome, hasBegun, endedAt, parts})}\n`;
}

/** Formats progress as the value of a record, in ASCII: its length is its size in bytes, and it may be cut anywhere. */
export function formatProgress(progress: Progress): string {
  const {outcome, hasBegun, endedAt, doneOccurrences, occurrences} = progress;
  const targets = new Map<string, number>();
  const addresses: string[] = [];
  const getTargetIndex = ({incarnation, address}: TargetReference): number => {
    const index = targets.get(incarnation) ?? targets.size;
    targets.set(incarnation, index);
    addresses[index] = address;
    return index;
  };
  const stored = occurrences.map((occurrence: Occurrence) => [
    occurrence.index,
    occurrence.steps.map(units =>
      units.map(unit => encodeUnit(unit, getTargetIndex)),
    ),
  ]);
  const details = {
    done: doneOccurrences,
    targets: [...targets.keys()],
    addresses: addresses.join(' '),
    occurrences: stored,
    ...encodeCrashes(occurrences),
  };
  const summary = JSON.stringify({outcome, hasBegun, endedAt});
  return `${summary}\n${escapeNonAscii(JSON.stringify(details))}`;
}

/** Parses the value of a record. Throws if its first line is malformed. */
export function parseProgress(value: string): StoredProgress {
  const end = value.indexOf('\n');
  const summary = summarySchema.parse(JSON.parse(value.slice(0, end)));
  return new StoredProgress(summary, value.slice(end + 1));
}

/** Replaces characters beyond ASCII in JSON by escape sequences. */
function escapeNonAscii(json: string): string {
  return json.replace(
    /[\u0080-\uffff]/g,
    char => `\\u${char.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

function encodeUnit(
  unit: UnitProgress,
  getTargetIndex: (target: TargetReference) => number,
): StoredUnit {
  const targetIndexes = (unit.placedOn ?? []).map(getTargetIndex);
  const {run, failureCount, lastFailedRun, isDone, checkpoint} = unit;
  const stored: Array<number | string> = [
    run,
    failureCount,
    lastFailedRun,
    isDone ? 1 : 0,
    checkpoint,
    ...targetIndexes,
  ];
  if (targetIndexes.length === 0) {
    while (stored.length > 1 && !stored.at(-1)) {
      stored.pop();
    }
  }
  return stored.length === 1 ? run : stored;
}

function decodeUnit(
  stored: number | z.infer<typeof unitSchema>,
  targets: readonly TargetReference[],
): UnitProgress {
  const items = typeof stored === 'number' ? [stored, 0, 0, 0, ''] : stored;
  const [run, failureCount, lastFailedRun, done, checkpoint, ...targetIndexes] =
    items as z.infer<typeof unitSchema>;
  const placedOn = targetIndexes.map(index => {
    const target = targets[index];
    if (!target) {
      throw new RangeError(
        `progress names target ${index}, which is not listed`,
      );
    }
    return target;
  });
  return {
    run,
    failureCount,
    lastFailedRun,
    isDone: done === 1,
    checkpoint,
    ...(placedOn.length > 0 ? {placedOn} : {}),
  };
}

/** Returns the crashes under all units; nothing if there are none, as for most jobs. */
function encodeCrashes(
  occurrences: readonly Occurrence[],
): Pick<StoredDetails, 'crashes' | 'crashed'> | undefined {
  const crashes: StoredDetails['crashes'] = [];
  const crashed: StoredDetails['crashed'] = [];
  for (const [occurrence, {steps}] of occurrences.entries()) {
    for (const [step, units] of steps.entries()) {
      for (const [unit, progress] of units.entries()) {
        for (const evidence of progress.crashes ?? []) {
          const {member, count, total, minAge, maxAge} = evidence;
          crashes.push([
            occurrence,
            step,
            unit,
            member,
            count,
            total,
            Math.floor(minAge),
            Math.ceil(maxAge),
          ]);
          crashed.push(evidence.incarnations);
        }
      }
    }
  }
  return crashes.length > 0 ? {crashes, crashed} : undefined;
}

function decodeCrashes(
  crashes: StoredDetails['crashes'],
  crashed: StoredDetails['crashed'],
  {occurrences}: Progress,
): void {
  for (const [position, stored] of crashes.entries()) {
    const [occurrence, step, unit, ...evidence] = stored;
    const progress = occurrences[occurrence]?.steps[step]?.[unit];
    if (progress) {
      const [member, count, total, minAge, maxAge] = evidence;
      progress.crashes ??= [];
      const incarnations = crashed[position] ?? [];
      progress.crashes.push({
        member,
        count,
        total,
        minAge,
        maxAge,
        incarnations,
      });
    }
  }
}
