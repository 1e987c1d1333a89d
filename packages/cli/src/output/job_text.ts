/** Formats jobs, explanations and plans as text. */
import type {
  ExplanationView,
  HistoryEntry,
  JobView,
  PlanView,
} from '@galenavalve/model';
import {type Column, renderTable} from './table.js';
import {formatAssignment, formatDuration, formatTime} from './format.js';

const jobColumns: Column<JobView>[] = [
  {title: 'job', text: job => job.jobId},
  {title: 'workspace', text: job => job.workspace},
  {title: 'domain', text: job => job.domain},
  {title: 'state', text: describeState},
  {title: 'attempts', text: job => String(job.attempts), alignRight: true},
  {title: 'submitted', text: job => formatTime(job.submittedAt)},
  {title: 'reason', text: job => job.text ?? ''},
];

const historyColumns: Column<HistoryEntry>[] = [
  {title: 'time', text: entry => formatTime(entry.at)},
  {title: 'event', text: entry => entry.event},
  {title: 'by', text: entry => entry.by},
  {title: 'reason', text: entry => entry.text ?? ''},
];

/** Returns the outcome of a finished job, or the phase of any other. */
export function describeState(job: JobView): string {
  const state = job.outcome ?? job.phase;
  const isCancelling = job.cancelRequested && job.phase !== 'finished';
  return isCancelling ? `${state}, cancelling` : state;
}

/** Renders jobs as a table. */
export function renderJobs(jobs: readonly JobView[]): string {
  return jobs.length === 0 ? 'no jobs' : renderTable(jobColumns, jobs);
}

/** Renders one job with its results. */
export function renderJob(job: JobView): string {
  const lines = [
    `job        ${job.jobId}`,
    `request    ${job.requestId}`,
    `workspace  ${job.workspace}`,
    `domain     ${job.domain}`,
    `state      ${describeState(job)}${job.urgent ? ', urgent' : ''}`,
    `attempts   ${job.attempts}`,
    `submitted  ${formatTime(job.submittedAt)}`,
  ];
  if (job.startedAt !== undefined) {
    const waited = formatDuration(job.startedAt - job.submittedAt);
    lines.push(`started    ${formatTime(job.startedAt)}, after ${waited}`);
  }
  if (job.finishedAt !== undefined) {
    const total = formatDuration(job.finishedAt - job.submittedAt);
    lines.push(`finished   ${formatTime(job.finishedAt)}, after ${total}`);
  }
  if (job.text) {
    lines.push(`reason     ${job.text}`);
  }
  job.results?.forEach((result, task) =>
    lines.push(`task ${task}: ${JSON.stringify(result)}`),
  );
  return lines.join('\n');
}

/** Renders a job with its history and the reason for which it waits. */
export function renderExplanation(view: ExplanationView): string {
  const {gang} = view.request;
  const lines = [
    renderJob(view),
    `gang       ${gang.tasks} x ${gang.perTask.accelerators} accelerators, within one ${gang.adjacency}`,
  ];
  if (view.waitingText) {
    lines.push(`now        ${view.waitingText}`);
  }
  for (const assignment of view.assignments) {
    lines.push(`on         ${formatAssignment(assignment)}`);
  }
  lines.push('', renderTable(historyColumns, view.history));
  return lines.join('\n');
}

/** Renders the result of a dry run. */
export function renderPlan(plan: PlanView): string {
  const verdictTexts = {
    'starts-now': 'would start now',
    waits: 'would wait',
    never: 'can never run',
  };
  const location = plan.domain ? ` in ${plan.domain}` : '';
  const lines = [verdictTexts[plan.verdict] + location];
  for (const assignment of plan.assignments) {
    lines.push(`on      ${formatAssignment(assignment)}`);
  }
  for (const jobId of plan.victims) {
    lines.push(`stops   ${jobId}`);
  }
  for (const {text} of plan.reasons) {
    lines.push(`reason  ${text}`);
  }
  return lines.join('\n');
}
