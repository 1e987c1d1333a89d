/**
 * Checks promises in the same way for every policy: each workspace is compared
 * with a cluster of its own that consists of the cells it is promised.
 */
import type {CellLevel, Configuration, Target} from '@galenavalve/model';
import {
  Cells,
  type DomainGuarantee,
  type RunningGang,
  type WaitingJob,
  findBestFit,
} from '@galenavalve/placement';

/** The promised cells of one workspace in one domain, with what it runs. */
export class GuaranteeCheck {
  private readonly own: Cells;
  /** Gangs that run beyond the promise. */
  private readonly beyond = new Map<string, RunningGang>();

  constructor(cells: Cells, promises: readonly DomainGuarantee[]) {
    this.own = new Cells('own', toConfiguration(cells, promises));
  }

  /** Whether the unused part of the promise holds a job. */
  hasRoomFor(job: WaitingJob): boolean {
    return findBestFit(this.own, {...job, avoidTargets: []}) !== undefined;
  }

  /** Counts a gang against the promise, now or as soon as it fits. */
  onStart(gang: RunningGang): void {
    if (!this.fit(gang)) {
      this.beyond.set(gang.jobId, gang);
    }
  }

  onEnd(jobId: string): void {
    this.own.removeGang(jobId);
    this.beyond.delete(jobId);
    for (const gang of [...this.beyond.values()]) {
      if (this.fit(gang)) {
        this.beyond.delete(gang.jobId);
      }
    }
  }

  private fit(gang: RunningGang): boolean {
    const assignments = findBestFit(this.own, {...gang, avoidTargets: []});
    if (assignments) {
      this.own.addGang({...gang, assignments, guaranteed: false});
    }
    return assignments !== undefined;
  }
}

function toConfiguration(
  cells: Cells,
  promises: readonly DomainGuarantee[],
): Configuration {
  const [sample] = cells.targets.values();
  const targets = new Map<string, Target>();
  let rack = 0;
  for (const {level, count} of promises) {
    for (let i = 0; i < count; i++) {
      for (const target of toTargets(cells, sample!.spec, level, `r${rack}`)) {
        targets.set(target.id, target);
      }
      rack++;
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

function toTargets(
  cells: Cells,
  sample: Target,
  level: CellLevel,
  rack: string,
): Target[] {
  const accelerators = cells.getMaxCellSize(level);
  const perTarget = Math.min(accelerators, sample.accelerators);
  const share = perTarget / sample.accelerators;
  const count = accelerators / perTarget;
  return Array.from({length: count}, (_, i) => ({
    ...sample,
    id: `${rack}-t${i}`,
    domain: 'own',
    rack,
    accelerators: perTarget,
    processors: sample.processors * share,
    memoryMb: sample.memoryMb * share,
    slots: Math.floor(sample.slots * share),
    permittedWorkspaces: undefined,
  }));
}
