/** Audits the runs of tasks from their starts and ends. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {formatLeaseKey} from '../gang_attempt.js';
import type {LeaseKey, LeaseState} from '../target_client.js';
import type {RunEvent} from './lease_model.js';

/** Collects the starts and ends of tasks. */
export class RunAudit {
  private readonly events: RunEvent[] = [];

  /** Adds one start or end; can be passed as `TargetModelOptions.onRun`. */
  addEvent = (event: RunEvent): void => {
    this.events.push(event);
  };

  /** Lists all events, earliest first. */
  listEvents(): RunEvent[] {
    return [...this.events].sort((a, b) => a.at - b.at);
  }

  /** Finds the attempts of a job of which any task has started. */
  findStartedAttempts(jobId: string): Set<number> {
    const events = this.events.filter(event => event.jobId === jobId);
    return new Set(events.map(event => event.attempt));
  }

  /**
   * Measures the longest uninterrupted time in which some members of an attempt
   * ran while another had not started or had ended without success. `members` is
   * the number of members; events after `until` are ignored.
   */
  measureLongestPartialRunMs(
    key: LeaseKey,
    members: number,
    until: Instant,
  ): Milliseconds {
    const states = new Map<number, LeaseState>();
    let longestMs = 0;
    let partialSince: Instant | undefined;
    for (const event of this.listAttemptEvents(key)) {
      if (event.at > until) {
        break;
      }
      if (partialSince !== undefined) {
        longestMs = Math.max(longestMs, event.at - partialSince);
      }
      states.set(event.firstTask, event.state);
      const isPartial = isPartialRun([...states.values()], members);
      partialSince = isPartial ? (partialSince ?? event.at) : undefined;
    }
    return Math.max(longestMs, until - (partialSince ?? until));
  }

  private listAttemptEvents(key: LeaseKey): RunEvent[] {
    return this.listEvents().filter(
      event => formatLeaseKey(event) === formatLeaseKey(key),
    );
  }
}

function isPartialRun(states: readonly LeaseState[], members: number): boolean {
  const isAnyRunning = states.includes('running');
  const isWhole =
    states.length === members &&
    states.every(state => state === 'running' || state === 'succeeded');
  return isAnyRunning && !isWhole;
}
