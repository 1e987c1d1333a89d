/** Checks what has run, from the starts and ends of tasks. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {formatLeaseKey} from '../gang_attempt.js';
import type {LeaseKey, LeaseState} from '../target_client.js';
import type {RunEvent} from './lease_model.js';

/** A record of all starts and ends. */
export class RunAudit {
  private readonly events: RunEvent[] = [];

  /** Notes one start or end; suits `TargetModelOptions.onRun`. */
  addEvent = (event: RunEvent): void => {
    this.events.push(event);
  };

  /** The record, earliest first. */
  listEvents(): RunEvent[] {
    return [...this.events].sort((a, b) => a.at - b.at);
  }

  /** Attempts of a job of which any task has started. */
  findStartedAttempts(jobId: string): Set<number> {
    const events = this.events.filter(event => event.jobId === jobId);
    return new Set(events.map(event => event.attempt));
  }

  /**
   * Longest time on end in which some members of an attempt ran while another
   * had not started, or had ended without success.
   */
  measureLongestPartialRunMs(
    key: LeaseKey,
    members: number,
    until: Instant,
  ): Milliseconds {
    const states = new Map<number, LeaseState>();
    let longest = 0;
    let partialSince: Instant | undefined;
    for (const event of this.eventsOf(key)) {
      if (event.at > until) {
        break;
      }
      if (partialSince !== undefined) {
        longest = Math.max(longest, event.at - partialSince);
      }
      states.set(event.firstTask, event.state);
      const isPartial = isInPart([...states.values()], members);
      partialSince = isPartial ? (partialSince ?? event.at) : undefined;
    }
    return Math.max(longest, until - (partialSince ?? until));
  }

  private eventsOf(key: LeaseKey): RunEvent[] {
    return this.listEvents().filter(
      event => formatLeaseKey(event) === formatLeaseKey(key),
    );
  }
}

function isInPart(states: readonly LeaseState[], members: number): boolean {
  const isAnyRunning = states.includes('running');
  const isWhole =
    states.length === members &&
    states.every(state => state === 'running' || state === 'succeeded');
  return isAnyRunning && !isWhole;
}
