/** Time from the acceptance of a job to the record of its start. */
import {build} from 'hdr-histogram-js';
import type {Cluster, JobDraft} from '@galenavalve/demo';

const RUN_MS = 20;
const WAIT_SECONDS = 20;

/** Latency of one kind of job, in milliseconds. */
export interface Latency {
  gang: string;
  urgent: boolean;
  jobs: number;
  submitToStartP50: number;
  submitToStartP99: number;
  /** From the caller's request to the whole answer; the tasks run for 20 ms. */
  wholeAnswerP50: number;
  wholeAnswerP99: number;
}

const SHAPES = [
  {gang: 'one target', tasks: 1},
  {gang: 'eight targets', tasks: 8},
] as const;

/** Measures each shape, urgent and not, one job after another. */
export async function measureLatencies(
  cluster: Cluster,
  jobs: number,
): Promise<Latency[]> {
  const latencies: Latency[] = [];
  for (const shape of SHAPES) {
    for (const urgent of [false, true]) {
      latencies.push(await measureShape(cluster, shape, urgent, jobs));
    }
  }
  return latencies;
}

async function measureShape(
  {api}: Cluster,
  shape: (typeof SHAPES)[number],
  urgent: boolean,
  jobs: number,
): Promise<Latency> {
  const toStart = build();
  const toAnswer = build();
  for (let index = 0; index < jobs; index++) {
    const id = `${shape.gang}-${urgent}-${index}`;
    const sentAt = performance.now();
    const {body} = await api.submit(
      createDraft(id, shape.tasks, urgent),
      WAIT_SECONDS,
    );
    if (body.outcome !== 'succeeded' || body.startedAt === undefined) {
      throw new Error(`${id} did not succeed: ${JSON.stringify(body)}`);
    }
    toAnswer.recordValue(performance.now() - sentAt);
    toStart.recordValue(Math.max(0, body.startedAt - body.submittedAt));
  }
  return {
    gang: shape.gang,
    urgent,
    jobs,
    submitToStartP50: toStart.getValueAtPercentile(50),
    submitToStartP99: toStart.getValueAtPercentile(99),
    wholeAnswerP50: toAnswer.getValueAtPercentile(50),
    wholeAnswerP99: toAnswer.getValueAtPercentile(99),
  };
}

function createDraft(
  requestId: string,
  tasks: number,
  urgent: boolean,
): JobDraft {
  return {
    requestId,
    workspace: 'handover-plans',
    gang: {
      tasks,
      perTask: {accelerators: 8, processors: 1, memoryMb: 64},
      adjacency: 'rack',
    },
    expectedSeconds: 1,
    urgent,
    createdAt: Date.now(),
    payload: {durationMs: RUN_MS},
  };
}
