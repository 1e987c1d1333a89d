import fc from 'fast-check';
import t from 'tap';
import type {Term} from '@galenavalve/model';
import {type Instant, SeededRandom} from '@galenavalve/shared';
import {
  type ClaimSituation,
  SUCCESSION_STEP_MS,
  SUSPECT_AFTER_MS,
  decideClaim,
  computeNextClaimTime,
} from '../src/index.js';

const TERM: Term = {log: 3, outage: 0, instance: 'a'};
const TICK_MS = 100;

function createSituation(
  changes: Partial<ClaimSituation> = {},
): ClaimSituation {
  return {
    now: 10_000,
    domain: 'north',
    self: 'b',
    isSelfReady: true,
    isSelfLeaving: false,
    currentTerm: TERM,
    termSeenAt: 0,
    eligibleInstances: ['b'],
    recentTakeovers: 0,
    ...changes,
  };
}

t.test('an instance', async t => {
  t.test('leaves a term to a holder that is heard', async t => {
    const lastHeardFromHolder = 10_000 - SUSPECT_AFTER_MS + 1;
    const decision = decideClaim(
      createSituation({holderLastHeardAt: lastHeardFromHolder}),
    );
    t.same(decision, {kind: 'wait', reason: 'holder-alive'});
  });

  t.test('claims the term of a holder that fell silent', async t => {
    const lastHeardFromHolder = 10_000 - SUSPECT_AFTER_MS;
    const decision = decideClaim(
      createSituation({holderLastHeardAt: lastHeardFromHolder}),
    );
    t.same(decision, {kind: 'claim', reason: 'holder-silent'});
  });

  t.test('takes over at once from a holder that is leaving', async t => {
    const lastHeardFromHolder = 9_999;
    const holderLeavingSince = 9_999;
    const situation = createSituation({
      holderLastHeardAt: lastHeardFromHolder,
      holderLeavingSince,
    });
    t.equal(decideClaim({...situation, now: 10_000}).kind, 'claim');
    t.equal(decideClaim({...situation, isSelfLeaving: true}).kind, 'wait');
    t.equal(decideClaim({...situation, isSelfReady: false}).kind, 'wait');
  });

  t.test('keeps its own term, but not that of its former process', async t => {
    const situation = createSituation({self: 'a'});
    t.equal(decideClaim({...situation, heldTerm: TERM}).kind, 'keep');
    t.same(decideClaim(situation), {kind: 'claim', reason: 'restarted'});
  });
});

/** A log that keeps the first claim of each term, and instances that hear those listed. */
interface Election {
  instances: string[];
  /** Pairs of instances that hear each other, as "a b". */
  hearing: Set<string>;
  seed: number;
}

/** Runs an election; returns the times of the accepted claims. */
function runElection(election: Election, duration: number): Instant[] {
  const random = new SeededRandom(election.seed);
  const accepted: Instant[] = [];
  let term: Term | undefined;
  let termSeenAt = 0;
  const held = new Map<string, Term>();
  const notBefore = new Map<string, Instant>();
  for (let now = 0; now < duration; now += TICK_MS) {
    // Claims of one tick are appended in an order that nobody controls.
    const claims = election.instances.filter(self => {
      const hears = (other: string) => election.hearing.has(`${self} ${other}`);
      const holder = term?.instance;
      const isHolderHeard = holder !== undefined && hears(holder);
      const decision = decideClaim(
        createSituation({
          now,
          self,
          currentTerm: term,
          termSeenAt,
          heldTerm: held.get(self),
          eligibleInstances: [self, ...election.instances.filter(hears)],
          holderLastHeardAt: isHolderHeard ? now : undefined,
          recentTakeovers: accepted.filter(at => now - at < 60_000).length,
          notBefore: notBefore.get(self),
        }),
      );
      return decision.kind === 'claim';
    });
    for (const self of claims) {
      notBefore.set(self, computeNextClaimTime(now, 0, random));
    }
    const winner = claims[Math.floor(random.next() * claims.length)];
    if (winner) {
      term = {log: (term?.log ?? 0) + 1, outage: 0, instance: winner};
      held.set(winner, term);
      termSeenAt = now;
      accepted.push(now);
    }
  }
  return accepted;
}

function countInMinute(times: Instant[], start: Instant): number {
  return times.filter(at => at >= start && at < start + 60_000).length;
}

t.test('an election', async t => {
  const instances = ['a', 'b', 'c', 'd', 'e'];
  const pairs = instances.flatMap(one => instances.map(two => `${one} ${two}`));

  t.test('has one claim when all hear each other', async t => {
    const step = instances.length * SUCCESSION_STEP_MS;
    fc.assert(
      fc.property(fc.nat(), seed => {
        const hearing = new Set(pairs);
        const claims = runElection({instances, hearing, seed}, 60_000);
        return claims.length === 1 && claims[0]! < step;
      }),
      {seed: 11, numRuns: 20},
    );
    t.pass();
  });

  // The gaps double from 1.6 s: the eighth claim of a minute would come after 102 s.
  t.test('slows down between rivals that cannot hear each other', async t => {
    fc.assert(
      fc.property(fc.subarray(pairs), fc.nat(), (heard, seed) => {
        const hearing = new Set(heard);
        const claims = runElection({instances, hearing, seed}, 600_000);
        return claims.every(start => countInMinute(claims, start) <= 7);
      }),
      {seed: 12, numRuns: 30},
    );
    t.pass();
  });
});
