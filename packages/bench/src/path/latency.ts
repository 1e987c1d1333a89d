/** Measures the time from submission to start, and from request to response. */
import {build} from 'hdr-histogram-js';
import type {Cluster, JobDraft} from '@galenavalve/demo';

const TASK_RUN_MS = 20;
const MAX_WAIT_SECONDS = 20;

/** Latency of jobs of one gang shape, in milliseconds. */
export interface Latency {
  gang: string;
  urgent: boolean;
  jobs: number;
  /** Time from the acceptance of the job to the record of its start. */
  submitToStartP50: number;
  submitToStartP99: number;
  /** Time from the caller's request to the final response; includes the tasks' run time of 20 ms. */
  wholeAnswerP50: number;
  wholeAnswerP99: number;
}

const GANG_SHAPES = [
  {gang: 'one target', tasks: 1},
  {gang: 'eight targets', tasks: 8},
] as const;

/** Measures each gang shape with and without urgency, one job after another; throws when a job does not succeed. */
export async function measureLatencies(
  cluster: Cluster,
  jobs: number,
): Promise<Latency[]> {
  const latencies: Latency[] = [];
  for (const shape of GANG_SHAPES) {
    for (const urgent of [false, true]) {
      latencies.push(await measureShape(cluster, shape, urgent, jobs));
    }
  }
  return latencies;
}

async function measureShape(
  {api}: Cluster,
  shape: (typeof GANG_SHAPES)[number],
  urgent: boolean,
  jobs: number,
): Promise<Latency> {
  const startLatencies = build();
  const responseLatencies = build();
  for (let index = 0; index < jobs; index++) {
    const id = `${shape.gang}-${urgent}-${index}`;
    const sentAt = performance.now();
    const {body} = await api.submit(
      createDraft(id, shape.tasks, urgent),
      MAX_WAIT_SECONDS,
    );
    if (body.outcome !== 'succeeded' || body.startedAt === undefined) {
      throw new Error(
        `${id} did not succeed; response: ${JSON.stringify(body)}`,
      );
    }
    responseLatencies.recordValue(performance.now() - sentAt);
    startLatencies.recordValue(Math.max(0, body.startedAt - body.submittedAt));
  }
  return {
    gang: shape.gang,
    urgent,
    jobs,
    submitToStartP50: startLatencies.getValueAtPercentile(50),
    submitToStartP99: startLatencies.getValueAtPercentile(99),
    wholeAnswerP50: responseLatencies.getValueAtPercentile(50),
    wholeAnswerP99: responseLatencies.getValueAtPercentile(99),
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
    payload: {durationMs: TASK_RUN_MS},
  };
}
