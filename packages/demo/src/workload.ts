/** Generates the jobs of the demonstration. */
import {type Random, nextInteger} from '@galenavalve/shared';
import type {JobDraft} from './entry_api.js';

const WORKSPACES = [
  'handover-plans',
  'reshuffles',
  'identity-checks',
  'reports',
] as const;

/** Shapes of gangs with their relative weights: most are small, a few need whole targets. */
const GANG_SHAPES = [
  {tasks: 1, accelerators: 1, adjacency: 'target', weight: 6},
  {tasks: 2, accelerators: 2, adjacency: 'target', weight: 4},
  {tasks: 4, accelerators: 2, adjacency: 'rack', weight: 3},
  {tasks: 2, accelerators: 8, adjacency: 'rack', weight: 2},
  {tasks: 4, accelerators: 8, adjacency: 'rack', weight: 1},
] as const;

const MIN_RUN_MS = 300;
const RUN_RANGE_MS = 2_500;

/** Creates `count` jobs with request ids `prefix-1`, `prefix-2` and so on. */
export function createJobs(
  prefix: string,
  count: number,
  random: Random,
): JobDraft[] {
  return Array.from({length: count}, (_, index) =>
    createJob(`${prefix}-${index + 1}`, random),
  );
}

function createJob(requestId: string, random: Random): JobDraft {
  const shape = chooseShape(random);
  const durationMs = MIN_RUN_MS + nextInteger(random, RUN_RANGE_MS);
  return {
    requestId,
    workspace: WORKSPACES[nextInteger(random, WORKSPACES.length)]!,
    gang: {
      tasks: shape.tasks,
      perTask: {accelerators: shape.accelerators, processors: 1, memoryMb: 512},
      adjacency: shape.adjacency,
    },
    // Makes the declared run time inaccurate, as callers' estimates often are.
    expectedSeconds: (durationMs / 1000) * (0.3 + 3 * random.next()),
    repeatable: random.next() < 0.8,
    checkpointable: random.next() < 0.5,
    urgent: random.next() < 0.2,
    createdAt: Date.now(),
    payload: {durationMs, output: `${requestId} done`},
  };
}

function chooseShape(random: Random): (typeof GANG_SHAPES)[number] {
  const total = GANG_SHAPES.reduce((sum, {weight}) => sum + weight, 0);
  let choice = nextInteger(random, total);
  for (const shape of GANG_SHAPES) {
    choice -= shape.weight;
    if (choice < 0) {
      return shape;
    }
  }
  return GANG_SHAPES[0];
}
