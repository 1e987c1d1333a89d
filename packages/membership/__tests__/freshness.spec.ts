import fc from 'fast-check';
import t from 'tap';
import {
  FreshnessTracker,
  type PeerObservation,
  PAUSE_THRESHOLD_MS,
  decideOutageMode,
} from '../src/index.js';

/** A step of the model: a record is appended, an instance reads the log, or an instance requests the report of a peer. */
type Step =
  | {kind: 'append'}
  | {kind: 'read'; instance: number; durationMs: number}
  | {
      kind: 'request-report';
      instance: number;
      peer: number;
      requestMs: number;
      responseMs: number;
    };

const instance = fc.nat({max: 2});
const delayMs = fc.nat({max: 3000});
const steps = fc.array(
  fc.oneof(
    fc.constant({kind: 'append'} as const),
    fc.record({
      kind: fc.constant('read' as const),
      instance,
      durationMs: delayMs,
    }),
    fc.record({
      kind: fc.constant('request-report' as const),
      instance,
      peer: instance,
      requestMs: delayMs,
      responseMs: delayMs,
    }),
  ),
  {maxLength: 60},
);

/** Instances that fold the same log; the clock of each has its own origin. */
class LogModel {
  private nowMs = 0;
  private endOffset = 0;
  /** Time at which each offset became the end of the log. */
  private readonly appendedAt = [0];
  private readonly clockOrigins = [0, 77_000, -5_000];
  private readonly offsets = [0, 0, 0];
  private readonly trackers = this.clockOrigins.map(
    () => new FreshnessTracker(),
  );

  run(step: Step): void {
    if (step.kind === 'append') {
      this.nowMs += 10;
      this.endOffset += 1;
      this.appendedAt.push(this.nowMs);
    } else if (step.kind === 'read') {
      const sentAt = this.getLocalTime(step.instance);
      this.offsets[step.instance] = this.endOffset;
      this.nowMs += step.durationMs;
      this.trackers[step.instance]!.onRead(sentAt);
      this.trackers[step.instance]!.onOffsetReached(
        this.offsets[step.instance]!,
      );
    } else if (step.instance !== step.peer) {
      this.requestReport(
        step.instance,
        step.peer,
        step.requestMs,
        step.responseMs,
      );
    }
  }

  /** Returns whether any instance reports an age below the true age: the time since its state was superseded. */
  hasUnderestimatedAge(): boolean {
    return this.trackers.some((tracker, index) => {
      const age = tracker.getAge(this.getLocalTime(index));
      const supersededAt = this.appendedAt[this.offsets[index]! + 1];
      const trueAge =
        supersededAt === undefined ? 0 : this.nowMs - supersededAt;
      return age < trueAge;
    });
  }

  private requestReport(
    requester: number,
    peer: number,
    requestMs: number,
    responseMs: number,
  ): void {
    const requestedAt = this.getLocalTime(requester);
    this.nowMs += requestMs;
    const offset = this.offsets[peer]!;
    const freshnessAgeMs = this.trackers[peer]!.getAge(this.getLocalTime(peer));
    this.nowMs += responseMs;
    const report = {offset, freshnessAgeMs};
    this.trackers[requester]!.onPeerReport(
      report,
      this.offsets[requester]!,
      requestedAt,
    );
  }

  private getLocalTime(index: number): number {
    return this.nowMs + this.clockOrigins[index]!;
  }
}

t.test('freshness', async t => {
  t.test('is never underestimated along any chain of reports', async t => {
    fc.assert(
      fc.property(steps, sequence => {
        const model = new LogModel();
        return sequence.every(step => {
          model.run(step);
          return !model.hasUnderestimatedAge();
        });
      }),
      {seed: 21, numRuns: 2000},
    );
    t.pass();
  });

  t.test(
    'is adopted from a peer only after its records have been folded',
    async t => {
      const tracker = new FreshnessTracker();
      tracker.onPeerReport({offset: 5, freshnessAgeMs: 100}, 4, 1000);
      t.equal(tracker.getAge(1000), Infinity);
      tracker.onOffsetReached(5);
      t.equal(tracker.getAge(1000), 100);
    },
  );

  t.test('is lost when the process was paused', async t => {
    const tracker = new FreshnessTracker();
    tracker.detectPause(0);
    tracker.onRead(0);
    const resumedAt = PAUSE_THRESHOLD_MS + 1;
    t.notOk(tracker.isFresh(resumedAt, 60_000), 'before the pause is detected');
    t.ok(tracker.detectPause(resumedAt));
    t.notOk(tracker.isFresh(resumedAt, 60_000), 'after the pause is detected');
  });
});

t.test('the outage mode', async t => {
  const otherDomains = ['north', 'south'];
  const stale: PeerObservation = {lastHeardAt: 1000, freshnessAgeMs: 60_000};

  function decide(
    north: PeerObservation[],
    south: PeerObservation[],
    isEnabled = true,
  ) {
    return decideOutageMode({
      now: 1000,
      freshness: new FreshnessTracker(),
      peersByDomain: new Map([
        ['north', north],
        ['south', south],
      ]),
      otherDomains,
      setting: isEnabled ? 'finish-placed' : 'off',
      freshnessBoundMs: 2000,
      suspectMs: 1600,
    });
  }

  t.test(
    'requires that every known instance is alive and not fresh',
    async t => {
      t.equal(decide([stale], [stale]).mode, 'finish-placed');
      t.match(decide([stale], []), {mode: 'cut-off', domain: 'south'});
      const silent = {...stale, lastHeardAt: -1000};
      t.match(decide([stale], [stale, silent]), {reason: 'peer-silent'});
      const fresh = {...stale, freshnessAgeMs: 100};
      t.match(decide([stale], [stale, fresh]), {reason: 'peer-fresh'});
    },
  );

  t.test('is off unless it is enabled', async t => {
    t.equal(decide([stale], [stale], false).mode, 'cut-off');
  });
});
