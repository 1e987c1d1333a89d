/**
 * Progress as the log keeps it: a line that every instance reads, and a line
 * with the units that only a dispatcher reads when it takes the job over.
 *
 * A job of a hundred tasks is written anew with each of them, and read by
 * every instance: what is not needed is not parsed, and little is written.
 */
import * as z from 'zod';
import {
  type Occurrence,
  type JobOutcome,
  type Progress,
  type UnitProgress,
  jobOutcomeSchema,
} from './progress.js';

const summarySchema = z.object({
  outcome: jobOutcomeSchema,
  hasBegun: z.boolean(),
  endedAt: z.number().optional(),
});

type Summary = z.infer<typeof summarySchema>;

const count = z.number().int().nonnegative();

/** Run, failed, failedRun, 1 if done, checkpoint, then the places of the members in the list of targets. What is 0 or empty at the end is left out. */
const unitSchema = z
  .tuple([
    count,
    count.default(0),
    count.default(0),
    z.union([z.literal(0), z.literal(1)]).default(0),
    z.string().default(''),
  ])
  .rest(count);

const detailsSchema = z.object({
  /** Occurrences that have all ended. */
  done: count,
  /** Target lives that units refer to by their place. */
  targets: z.array(z.string()),
  /** Index and steps of each occurrence; a number stands for a unit with nothing but that run. */
  occurrences: z.array(
    z.tuple([count, z.array(z.array(z.union([count, unitSchema])))]),
  ),
});

type StoredUnit = number | Array<number | string>;

/** Progress of which the units are parsed when they are asked for. */
export class StoredProgress {
  readonly outcome: JobOutcome;
  readonly hasBegun: boolean;
  /** Wall-clock time of the end, in Unix milliseconds. */
  readonly endedAt?: number;

  constructor(
    summary: Summary,
    private readonly details: string,
  ) {
    this.outcome = summary.outcome;
    this.hasBegun = summary.hasBegun;
    this.endedAt = summary.endedAt;
  }

  /** The whole progress, as an object of the caller's own. Throws on a record that another writer broke. */
  read(): Progress {
    const {done, targets, occurrences} = detailsSchema.parse(
      JSON.parse(this.details),
    );
    return {
      outcome: this.outcome,
      hasBegun: this.hasBegun,
      endedAt: this.endedAt,
      doneOccurrences: done,
      occurrences: occurrences.map(([index, steps]) => ({
        index,
        steps: steps.map(units => units.map(unit => readUnit(unit, targets))),
      })),
    };
  }
}

/** Writes progress as a record's value. */
export function formatProgress(progress: Progress): string {
  const {outcome, hasBegun, endedAt, doneOccurrences, occurrences} = progress;
  const targets = new Map<string, number>();
  const placeOf = (target: string): number => {
    const known = targets.get(target) ?? targets.size;
    targets.set(target, known);
    return known;
  };
  const stored = occurrences.map((occurrence: Occurrence) => [
    occurrence.index,
    occurrence.steps.map(units => units.map(unit => writeUnit(unit, placeOf))),
  ]);
  const details = {
    done: doneOccurrences,
    targets: [...targets.keys()],
    occurrences: stored,
  };
  const summary = JSON.stringify({outcome, hasBegun, endedAt});
  return `${summary}\n${JSON.stringify(details)}`;
}

/** Reads a record's value. Throws when its first line is broken. */
export function parseProgress(value: string): StoredProgress {
  const end = value.indexOf('\n');
  const summary = summarySchema.parse(JSON.parse(value.slice(0, end)));
  return new StoredProgress(summary, value.slice(end + 1));
}

function writeUnit(
  unit: UnitProgress,
  placeOf: (target: string) => number,
): StoredUnit {
  const places = (unit.placedOn ?? []).map(placeOf);
  const {
    run,
    failureCount: failed,
    lastFailedRun: failedRun,
    isDone,
    checkpoint,
  } = unit;
  const stored: Array<number | string> = [
    run,
    failed,
    failedRun,
    isDone ? 1 : 0,
    checkpoint,
    ...places,
  ];
  if (places.length === 0) {
    while (stored.length > 1 && !stored.at(-1)) {
      stored.pop();
    }
  }
  return stored.length === 1 ? run : stored;
}

function readUnit(
  stored: number | z.infer<typeof unitSchema>,
  targets: readonly string[],
): UnitProgress {
  const parts = typeof stored === 'number' ? [stored, 0, 0, 0, ''] : stored;
  const [run, failed, failedRun, done, checkpoint, ...places] =
    parts as z.infer<typeof unitSchema>;
  const placedOn = places.map(place => targets[place]!);
  return {
    run,
    failureCount: failed,
    lastFailedRun: failedRun,
    isDone: done === 1,
    checkpoint,
    ...(placedOn.length > 0 ? {placedOn} : {}),
  };
}
