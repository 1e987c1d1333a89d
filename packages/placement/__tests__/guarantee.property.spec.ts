import type {CellLevel, Guarantee} from '@galenavalve/model';
import fc from 'fast-check';
import t from 'tap';
import {
  Cells,
  GuaranteePolicy,
  type GuaranteedCell,
  type WaitingJob,
  apportionGuarantees,
  findShortfalls,
} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';
import {isSatisfiable} from './oracle.js';

const SEED = 20_260;
const policy = new GuaranteePolicy();
const workspaces = ['a', 'b', 'c'];

const level = fc.constantFrom<CellLevel>(
  'accelerator',
  'half',
  'target',
  'rack',
);
const promise = fc.record({
  workspace: fc.constantFrom(...workspaces),
  level,
  count: fc.integer({min: 1, max: 2}),
});
const shape = fc.record({
  tasks: fc.integer({min: 1, max: 4}),
  accelerators: fc.integer({min: 0, max: 4}),
  adjacency: fc.constantFrom<'target' | 'rack' | 'domain'>(
    'target',
    'rack',
    'domain',
  ),
});
const step = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      workspace: fc.constantFrom(...workspaces),
      shape,
      checkpointable: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('finish' as const),
      pick: fc.nat(),
    }),
  },
);
const permitted = fc.option(fc.subarray(workspaces, {minLength: 1}), {
  nil: undefined,
});

/** Runs the decisions of one domain as its scheduler would. */
class Driver {
  queue: WaitingJob[] = [];
  now = 0;
  constructor(readonly cells: Cells) {}

  pass() {
    this.now += 1000;
    const decisions = policy.decide(this.cells, this.queue, this.now);
    for (const {jobId, assignments, guaranteed} of decisions.placements) {
      const job = this.queue.find(other => other.jobId === jobId)!;
      this.queue = this.queue.filter(other => other !== job);
      this.cells.addGang({
        ...job,
        assignments,
        guaranteed,
        startedAt: this.now,
        savedAt: this.now,
        stopping: false,
      });
    }
    decisions.reclaims
      .flatMap(({victims}) => victims)
      .forEach(id => this.cells.removeGang(id));
    return decisions;
  }

  finish(pick: number) {
    const gangs = [...this.cells.listGangs()];
    if (gangs.length > 0) {
      this.cells.removeGang(gangs[pick % gangs.length]!.jobId);
    }
  }
}

function configurationOf(
  promises: {workspace: string; level: CellLevel; count: number}[],
  permissions: (string[] | undefined)[] = [],
) {
  const guarantees: Record<string, Guarantee[]> = {a: [], b: [], c: []};
  for (const {workspace, level, count} of promises) {
    guarantees[workspace]!.push({level, count});
  }
  const configuration = createConfiguration(
    [{id: 'd', racks: 2, targetsPerRack: 2, accelerators: 4}],
    guarantees,
  );
  [...configuration.targets.values()].forEach((target, i) => {
    target.permittedWorkspaces = permissions[i];
  });
  return configuration;
}

function cellsOf(configuration: ReturnType<typeof configurationOf>) {
  return new Cells('d', configuration);
}

t.test('a shortfall is found exactly when no packing exists', async () => {
  fc.assert(
    fc.property(fc.array(promise, {maxLength: 5}), promises => {
      const configuration = configurationOf(promises);
      const own = apportionGuarantees(configuration).get('d')!;
      const isShort = findShortfalls(configuration).length > 0;
      return isShort !== isSatisfiable(cellsOf(configuration), own);
    }),
    {seed: SEED, numRuns: 500},
  );
});

t.test('permissions never hide a shortfall of whole targets', async () => {
  const wholeTargets = promise.map(one => ({...one, level: 'target' as const}));
  fc.assert(
    fc.property(
      fc.array(wholeTargets, {maxLength: 4}),
      fc.array(permitted, {minLength: 4, maxLength: 4}),
      (promises, permissions) => {
        const configuration = configurationOf(promises, permissions);
        const own = apportionGuarantees(configuration).get('d')!;
        const isShort = findShortfalls(configuration).length > 0;
        return isShort !== isSatisfiable(cellsOf(configuration), own);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});

t.test('at every moment', async t => {
  t.test('all unused guarantees can be satisfied at once', async () => {
    fc.assert(
      fc.property(
        fc.array(promise, {maxLength: 5}),
        fc.array(step, {maxLength: 30}),
        (promises, steps) => {
          const configuration = configurationOf(promises);
          fc.pre(findShortfalls(configuration).length === 0);
          const driver = new Driver(cellsOf(configuration));
          return steps.every((one, i) => {
            run(driver, one, i);
            const {cells} = driver;
            return (
              cells.unplacedCells.length === 0 &&
              isSatisfiable(cells, cells.guarantees)
            );
          });
        },
      ),
      {seed: SEED, numRuns: 400},
    );
  });

  t.test('an unused guaranteed shape starts after one reclaim', async () => {
    fc.assert(
      fc.property(
        fc.array(promise, {minLength: 1, maxLength: 5}),
        fc.array(step, {maxLength: 30}),
        (promises, steps) => {
          const configuration = configurationOf(promises);
          fc.pre(findShortfalls(configuration).length === 0);
          const driver = new Driver(cellsOf(configuration));
          steps.forEach((one, i) => run(driver, one, i));
          driver.queue = [];
          const {guaranteedCells: homes} = driver.cells;
          for (const workspace of workspaces) {
            // Starting a job moves homes, so the set is copied first.
            for (const home of [...homes.getWorkspace(workspace).cells]) {
              const isUnused = !homes.isBound(home);
              if (isUnused && !startsAfterReclaim(driver, home, false)) {
                return false;
              }
              if (isUnused && !startsAfterReclaim(driver, home, true)) {
                return false;
              }
            }
          }
          return true;
        },
      ),
      {seed: SEED, numRuns: 400},
    );
  });
});

function run(
  driver: Driver,
  one: typeof step extends fc.Arbitrary<infer T> ? T : never,
  index: number,
): void {
  if (one.type === 'submit') {
    const {workspace, checkpointable} = one;
    driver.queue.push(
      createJob(`j${index}`, one.shape, {
        workspace,
        checkpointable,
        submittedAt: driver.now,
      }),
    );
  } else {
    driver.finish(one.pick);
  }
  driver.pass();
}

/**
 * Submits a job of the shape of a home, and takes it away again. A job that
 * may not be repeated must start within the guarantee; a repeatable one may
 * start on other free capacity instead.
 */
function startsAfterReclaim(
  driver: Driver,
  home: GuaranteedCell,
  repeatable: boolean,
): boolean {
  const tasks = home.slices.length;
  const accelerators =
    home.level === 'half' ? 2 : home.level === 'accelerator' ? 1 : 4;
  const adjacency = home.level === 'rack' ? 'rack' : 'target';
  const job = createJob(
    'shape',
    {tasks, accelerators, adjacency},
    {workspace: home.workspace, submittedAt: driver.now, repeatable},
  );
  driver.queue = [job];
  const placements = [driver.pass(), driver.pass()].flatMap(
    decisions => decisions.placements,
  );
  driver.queue = [];
  driver.cells.removeGang('shape');
  return placements.some(
    ({jobId, guaranteed}) => jobId === 'shape' && (guaranteed || repeatable),
  );
}
