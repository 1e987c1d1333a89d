import fc from 'fast-check';
import t from 'tap';
import {
  FreshnessTracker,
  type PeerObservation,
  PAUSE_THRESHOLD_MS,
  decideOutageMode,
} from '../src/index.js';

/** What happens in the model: a record is appended, an instance reads, or one asks another. */
type Step =
  | {kind: 'append'}
  | {kind: 'read'; who: number; ms: number}
  | {kind: 'ask'; who: number; peer: number; there: number; back: number};

const who = fc.nat({max: 2});
const delay = fc.nat({max: 3000});
const steps = fc.array(
  fc.oneof(
    fc.constant({kind: 'append'} as const),
    fc.record({kind: fc.constant('read' as const), who, ms: delay}),
    fc.record({
      kind: fc.constant('ask' as const),
      who,
      peer: who,
      there: delay,
      back: delay,
    }),
  ),
  {maxLength: 60},
);

/** Instances that fold one log; each clock has its own origin. */
class Model {
  private time = 0;
  private end = 0;
  /** When each offset came to be the end of the log. */
  private readonly endSince = [0];
  private readonly origins = [0, 77_000, -5_000];
  private readonly offsets = [0, 0, 0];
  private readonly trackers = this.origins.map(() => new FreshnessTracker());

  run(step: Step): void {
    if (step.kind === 'append') {
      this.time += 10;
      this.end += 1;
      this.endSince.push(this.time);
    } else if (step.kind === 'read') {
      const sentAt = this.localTime(step.who);
      this.offsets[step.who] = this.end;
      this.time += step.ms;
      this.trackers[step.who]!.onRead(sentAt);
      this.trackers[step.who]!.onOffsetReached(this.offsets[step.who]!);
    } else if (step.who !== step.peer) {
      this.ask(step.who, step.peer, step.there, step.back);
    }
  }

  /** Whether any instance claims an age below the true one: the time since its state was superseded. */
  claimsTooYoung(): boolean {
    return this.trackers.some((tracker, index) => {
      const age = tracker.getAge(this.localTime(index));
      const supersededAt = this.endSince[this.offsets[index]! + 1];
      const trueAge = supersededAt === undefined ? 0 : this.time - supersededAt;
      return age < trueAge;
    });
  }

  private ask(asker: number, peer: number, there: number, back: number): void {
    const askedAt = this.localTime(asker);
    this.time += there;
    const offset = this.offsets[peer]!;
    const freshnessAgeMs = this.trackers[peer]!.getAge(this.localTime(peer));
    this.time += back;
    const report = {offset, freshnessAgeMs};
    this.trackers[asker]!.onPeerReport(report, this.offsets[asker]!, askedAt);
  }

  private localTime(index: number): number {
    return this.time + this.origins[index]!;
  }
}

t.test('freshness', async t => {
  t.test('is never claimed younger than it is, over any relays', async t => {
    fc.assert(
      fc.property(steps, list => {
        const model = new Model();
        return list.every(step => {
          model.run(step);
          return !model.claimsTooYoung();
        });
      }),
      {seed: 21, numRuns: 2000},
    );
    t.pass();
  });

  t.test('is taken from a peer only once its records are here', async t => {
    const tracker = new FreshnessTracker();
    tracker.onPeerReport({offset: 5, freshnessAgeMs: 100}, 4, 1000);
    t.equal(tracker.getAge(1000), Infinity);
    tracker.onOffsetReached(5);
    t.equal(tracker.getAge(1000), 100);
  });

  t.test('is lost by a pause of the process', async t => {
    const tracker = new FreshnessTracker();
    tracker.detectPause(0);
    tracker.onRead(0);
    const later = PAUSE_THRESHOLD_MS + 1;
    t.notOk(tracker.isFresh(later, 60_000), 'before a tick has seen it');
    t.ok(tracker.detectPause(later));
    t.notOk(tracker.isFresh(later, 60_000), 'after it');
  });
});

t.test('the outage mode', async t => {
  const domains = ['north', 'south'];
  const stale: PeerObservation = {lastHeardAt: 1000, freshnessAgeMs: 60_000};

  function decide(
    north: PeerObservation[],
    south: PeerObservation[],
    isOn = true,
  ) {
    return decideOutageMode({
      now: 1000,
      freshness: new FreshnessTracker(),
      peersByDomain: new Map([
        ['north', north],
        ['south', south],
      ]),
      otherDomains: domains,
      setting: isOn ? 'finish-placed' : 'off',
      freshnessBoundMs: 2000,
      suspectMs: 1600,
    });
  }

  t.test('needs every known instance, and none that is fresh', async t => {
    t.equal(decide([stale], [stale]).mode, 'finish-placed');
    t.match(decide([stale], []), {mode: 'cut-off', domain: 'south'});
    const silent = {...stale, lastHeardAt: -1000};
    t.match(decide([stale], [stale, silent]), {reason: 'peer-silent'});
    const fresh = {...stale, freshnessAgeMs: 100};
    t.match(decide([stale], [stale, fresh]), {reason: 'peer-fresh'});
  });

  t.test('is off unless it is set', async t => {
    t.equal(decide([stale], [stale], false).mode, 'cut-off');
  });
});
