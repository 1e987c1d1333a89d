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

const levelArbitrary = fc.constantFrom<CellLevel>(
  'accelerator',
  'half',
  'target',
  'rack',
);
const guaranteeArbitrary = fc.record({
  workspace: fc.constantFrom(...workspaces),
  level: levelArbitrary,
  count: fc.integer({min: 1, max: 2}),
});
const shapeArbitrary = fc.record({
  tasks: fc.integer({min: 1, max: 4}),
  accelerators: fc.integer({min: 0, max: 4}),
  adjacency: fc.constantFrom<'target' | 'rack' | 'domain'>(
    'target',
    'rack',
    'domain',
  ),
});
const stepArbitrary = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      workspace: fc.constantFrom(...workspaces),
      shape: shapeArbitrary,
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
const permittedArbitrary = fc.option(fc.subarray(workspaces, {minLength: 1}), {
  nil: undefined,
});

/** Applies the decisions of one domain as its scheduler does, except that victims stop at once. */
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

function createGuaranteeConfiguration(
  cellGuarantees: {workspace: string; level: CellLevel; count: number}[],
  permissions: (string[] | undefined)[] = [],
) {
  const guarantees: Record<string, Guarantee[]> = {a: [], b: [], c: []};
  for (const {workspace, level, count} of cellGuarantees) {
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

function createCells(
  configuration: ReturnType<typeof createGuaranteeConfiguration>,
) {
  return new Cells('d', configuration);
}

t.test('a shortfall is found if and only if no packing exists', async () => {
  fc.assert(
    fc.property(fc.array(guaranteeArbitrary, {maxLength: 5}), guarantees => {
      const configuration = createGuaranteeConfiguration(guarantees);
      const assigned = apportionGuarantees(configuration).get('d')!;
      const isShort = findShortfalls(configuration).length > 0;
      return isShort !== isSatisfiable(createCells(configuration), assigned);
    }),
    {seed: SEED, numRuns: 500},
  );
});

t.test('permitted workspaces hide no shortfall of whole targets', async () => {
  const wholeTargets = guaranteeArbitrary.map(item => ({
    ...item,
    level: 'target' as const,
  }));
  fc.assert(
    fc.property(
      fc.array(wholeTargets, {maxLength: 4}),
      fc.array(permittedArbitrary, {minLength: 4, maxLength: 4}),
      (guarantees, permissions) => {
        const configuration = createGuaranteeConfiguration(
          guarantees,
          permissions,
        );
        const assigned = apportionGuarantees(configuration).get('d')!;
        const isShort = findShortfalls(configuration).length > 0;
        return isShort !== isSatisfiable(createCells(configuration), assigned);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});

t.test('after any sequence of steps', async t => {
  t.test('all unused guarantees can be satisfied at once', async () => {
    fc.assert(
      fc.property(
        fc.array(guaranteeArbitrary, {maxLength: 5}),
        fc.array(stepArbitrary, {maxLength: 30}),
        (guarantees, steps) => {
          const configuration = createGuaranteeConfiguration(guarantees);
          fc.pre(findShortfalls(configuration).length === 0);
          const driver = new Driver(createCells(configuration));
          return steps.every((item, i) => {
            runStep(driver, item, i);
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
        fc.array(guaranteeArbitrary, {minLength: 1, maxLength: 5}),
        fc.array(stepArbitrary, {maxLength: 30}),
        (guarantees, steps) => {
          const configuration = createGuaranteeConfiguration(guarantees);
          fc.pre(findShortfalls(configuration).length === 0);
          const driver = new Driver(createCells(configuration));
          steps.forEach((item, i) => runStep(driver, item, i));
          driver.queue = [];
          const {guaranteedCells} = driver.cells;
          for (const workspace of workspaces) {
            // Starting a job relocates cells, so the set is copied first.
            for (const cell of [
              ...guaranteedCells.getWorkspace(workspace).cells,
            ]) {
              const isUnused = !guaranteedCells.isBound(cell);
              if (isUnused && !canStartAfterReclaim(driver, cell, false)) {
                return false;
              }
              if (isUnused && !canStartAfterReclaim(driver, cell, true)) {
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

function runStep(
  driver: Driver,
  item: typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never,
  index: number,
): void {
  if (item.type === 'submit') {
    const {workspace, checkpointable} = item;
    driver.queue.push(
      createJob(`j${index}`, item.shape, {
        workspace,
        checkpointable,
        submittedAt: driver.now,
      }),
    );
  } else {
    driver.finish(item.pick);
  }
  driver.pass();
}

/**
 * Submits a job with the shape of a guaranteed cell, removes it again, and
 * returns whether it started. A job that is not repeatable must start within the
 * guarantee; a repeatable job may start on other free capacity instead.
 */
function canStartAfterReclaim(
  driver: Driver,
  cell: GuaranteedCell,
  repeatable: boolean,
): boolean {
  const tasks = cell.slices.length;
  const accelerators =
    cell.level === 'half' ? 2 : cell.level === 'accelerator' ? 1 : 4;
  const adjacency = cell.level === 'rack' ? 'rack' : 'target';
  const job = createJob(
    'shape',
    {tasks, accelerators, adjacency},
    {workspace: cell.workspace, submittedAt: driver.now, repeatable},
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
