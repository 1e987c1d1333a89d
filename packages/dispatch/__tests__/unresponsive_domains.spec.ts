import t from 'tap';
import {type TargetState, decide} from '@galenavalve/dispatch';
import {
  createJob,
  createTarget,
  createSnapshot,
  createStep,
} from './fixtures.js';

const single = createStep({count: 1});

/** Creates four targets, two in each of two domains. */
function createTargets(now: number): TargetState[] {
  const targets = ['a', 'b', 'c', 'e'].map(id => createTarget(id, 'r', now));
  targets[0]!.info.domain = targets[1]!.info.domain = 'd1';
  targets[2]!.info.domain = targets[3]!.info.domain = 'd2';
  return targets;
}

function findPlacedDomains(targets: TargetState[], now: number): Set<string> {
  const jobs = Array.from({length: 8}, (_, index) => String(index)).map(id =>
    createJob(id, single, {acceptedAt: now}),
  );
  const {starts} = decide(createSnapshot(jobs, targets), now);
  const domains = starts.flatMap(({placement}) =>
    placement.shares.map(({candidate}) => candidate.domain),
  );
  return new Set(domains);
}

t.test(
  'a domain whose targets stop responding together gets no new work',
  t => {
    const targets = createTargets(1000);
    const [first, second, third] = targets;
    first!.responseDueAt = 1200;
    second!.responseDueAt = 1250;
    third!.onResponse(1, 1500, 1500);
    t.same(findPlacedDomains(targets, 1600), new Set(['d2']));
    t.end();
  },
);

t.test('a single unresponsive target does not exclude its domain', t => {
  const targets = createTargets(1000);
  targets[0]!.responseDueAt = 1200;
  const domains = findPlacedDomains(targets, 1600);
  t.same(domains, new Set(['d1', 'd2']));
  t.end();
});

t.test('a response of any target makes its domain schedulable again', t => {
  const targets = createTargets(1000);
  targets.push(createTarget('f', 'r', 1000));
  targets[4]!.info.domain = 'd1';
  targets[0]!.responseDueAt = 1200;
  targets[1]!.responseDueAt = 1250;
  targets[4]!.onResponse(1, 1550, 1550);
  t.same(findPlacedDomains(targets, 1600), new Set(['d1', 'd2']));
  t.end();
});

t.test('a target whose listing is late gets no new work', t => {
  const targets = [createTarget('a', 'r', 1000)];
  targets[0]!.responseDueAt = 1200;
  t.equal(findPlacedDomains(targets, 1400).size, 1);
  t.equal(findPlacedDomains(targets, 1500).size, 0);
  t.end();
});
