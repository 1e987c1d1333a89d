/**
 * Checks guarantees in the same way for every policy: each workspace is compared
 * with a dedicated cluster that consists of its guaranteed cells alone.
 */
import type {CellLevel, Configuration, Target} from '@galenavalve/model';
import {
  Cells,
  type DomainGuarantee,
  type RunningGang,
  type WaitingJob,
  findBestFit,
} from '@galenavalve/placement';

/** Dedicated cluster of one workspace in one domain, with the gangs that the workspace runs. */
export class GuaranteeCheck {
  private readonly dedicatedCells: Cells;
  /** Running gangs that do not fit into the guarantee. */
  private readonly excessGangs = new Map<string, RunningGang>();

  constructor(cells: Cells, guarantees: readonly DomainGuarantee[]) {
    this.dedicatedCells = new Cells(
      'own',
      createGuaranteeConfiguration(cells, guarantees),
    );
  }

  /** Returns whether a job fits into the unused part of the guarantee. */
  hasRoomFor(job: WaitingJob): boolean {
    return (
      findBestFit(this.dedicatedCells, {...job, avoidTargets: []}) !== undefined
    );
  }

  /** Charges a gang to the guarantee, now or as soon as it fits. */
  onStart(gang: RunningGang): void {
    if (!this.addIfFits(gang)) {
      this.excessGangs.set(gang.jobId, gang);
    }
  }

  /** Removes a gang, and charges excess gangs that fit into the freed part. */
  onEnd(jobId: string): void {
    this.dedicatedCells.removeGang(jobId);
    this.excessGangs.delete(jobId);
    for (const gang of [...this.excessGangs.values()]) {
      if (this.addIfFits(gang)) {
        this.excessGangs.delete(gang.jobId);
      }
    }
  }

  private addIfFits(gang: RunningGang): boolean {
    const assignments = findBestFit(this.dedicatedCells, {
      ...gang,
      avoidTargets: [],
    });
    if (assignments) {
      this.dedicatedCells.addGang({...gang, assignments, guaranteed: false});
    }
    return assignments !== undefined;
  }
}

function createGuaranteeConfiguration(
  cells: Cells,
  guarantees: readonly DomainGuarantee[],
): Configuration {
  const [sample] = cells.targets.values();
  const targets = new Map<string, Target>();
  let rackIndex = 0;
  for (const {level, count} of guarantees) {
    for (let i = 0; i < count; i++) {
      for (const target of createCellTargets(
        cells,
        sample!.spec,
        level,
        `r${rackIndex}`,
      )) {
        targets.set(target.id, target);
      }
      rackIndex++;
    }
  }
  const domain = {
    kind: 'domain',
    id: 'own',
    region: 'own',
    state: 'in-service',
  } as const;
  return {
    ...cells.configuration,
    domains: new Map([['own', domain]]),
    targets,
    workspaces: new Map(),
  };
}

function createCellTargets(
  cells: Cells,
  sample: Target,
  level: CellLevel,
  rack: string,
): Target[] {
  const accelerators = cells.getMaxCellSize(level);
  const acceleratorsPerTarget = Math.min(accelerators, sample.accelerators);
  const share = acceleratorsPerTarget / sample.accelerators;
  const count = accelerators / acceleratorsPerTarget;
  return Array.from({length: count}, (_, i) => ({
    ...sample,
    id: `${rack}-t${i}`,
    domain: 'own',
    rack,
    accelerators: acceleratorsPerTarget,
    processors: sample.processors * share,
    memoryMb: sample.memoryMb * share,
    slots: Math.floor(sample.slots * share),
    permittedWorkspaces: undefined,
  }));
}
