/** Queries for the inventory and the workspaces. */
import type {Job} from '@galenavalve/ledger';
import type {
  Domain,
  DomainView,
  GuaranteeView,
  InventoryView,
  Target,
  TargetView,
  Workspace,
  WorkspaceView,
} from '@galenavalve/model';
import {
  listGuaranteeViews,
  createInServiceFilter,
} from '@galenavalve/placement';
import type {DaemonContext} from '../daemon_context.js';

/** Returns the inventory in the state of this instance, with the freshness age of that state. */
export function viewInventory(context: DaemonContext): InventoryView {
  const domains = [...context.state.configuration.domains.keys()].sort();
  return {
    offset: context.state.nextOffset,
    freshnessAgeMs: getFreshnessAge(context),
    domains: domains.map(id => viewDomain(context, id)),
  };
}

/** Returns the freshness age in whole milliseconds; null without a freshness proof. */
function getFreshnessAge(context: DaemonContext): number | null {
  const ageMs = context.freshness.getAge(context.clock.now());
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}

/** Returns every workspace with its guarantees and its usage. */
export function viewWorkspaces(context: DaemonContext): WorkspaceView[] {
  const {workspaces, domains} = context.state.configuration;
  const active = [...domains.keys()].flatMap(id => [
    ...context.state.listActiveJobs(id),
  ]);
  const guarantees = findAvailableGuarantees(context);
  const ids = [...workspaces.keys()].sort();
  return ids.map(id => ({
    ...viewWorkspace(context, workspaces.get(id)!, active),
    guarantees: guarantees.get(id) ?? [],
  }));
}

/** Returns the guarantees of each workspace as far as the healthy targets in service can satisfy them. */
function findAvailableGuarantees(
  context: DaemonContext,
): Map<string, GuaranteeView[]> {
  const {configuration} = context.state;
  const isInService = createInServiceFilter(configuration);
  return listGuaranteeViews(
    configuration,
    target =>
      isInService(target) &&
      context.getProjection(target.domain).cells.getCondition(target.id) ===
        'well',
  );
}

function viewDomain(context: DaemonContext, id: string): DomainView {
  const {state} = context;
  const domain = state.configuration.domains.get(id)!;
  const targets = [...state.configuration.targets.values()].filter(
    target => target.domain === id,
  );
  targets.sort((a, b) => (a.id < b.id ? -1 : 1));
  return {
    id,
    region: domain.region,
    version: state.getEntityVersion(`domain/${id}`),
    state: viewState(context, domain),
    scheduler: state.getSchedulerTerm(id)?.instance,
    queued: countItems(state.listQueuedJobs(id)),
    running: countItems(state.listActiveJobs(id)),
    targets: targets.map(target => viewTarget(context, target)),
  };
}

/** Returns the state of a domain: `held` if a hold takes it out before the log has the record. */
function viewState(context: DaemonContext, {id, state}: Domain): string {
  const isHeld = state === 'in-service' && context.mesh.isHeld(`domain/${id}`);
  return isHeld ? 'held' : state;
}

function viewTarget(context: DaemonContext, target: Target): TargetView {
  const {cells} = context.getProjection(target.domain);
  return {
    id: target.id,
    rack: target.rack,
    version: context.state.getEntityVersion(`target/${target.id}`),
    state: target.state,
    accelerators: target.accelerators,
    acceleratorsUsed: cells.countUsedAccelerators(target.id),
    tasks: cells.countTasksOn(target.id),
    condition: cells.getCondition(target.id),
  };
}

function viewWorkspace(
  context: DaemonContext,
  workspace: Workspace,
  active: readonly Job[],
): Omit<WorkspaceView, 'guarantees'> {
  const ownJobs = active.filter(job => job.request.workspace === workspace.id);
  return {
    id: workspace.id,
    version: context.state.getEntityVersion(`workspace/${workspace.id}`),
    weight: workspace.weight,
    queued: context.state.countQueuedJobs(workspace.id),
    running: ownJobs.length,
    acceleratorsGuaranteed: sumAccelerators(
      ownJobs.filter(job => job.guaranteed),
    ),
    acceleratorsBorrowed: sumAccelerators(
      ownJobs.filter(job => !job.guaranteed),
    ),
  };
}

function sumAccelerators(jobs: readonly Job[]): number {
  return jobs.reduce((sum, {request: {gang}}) => {
    return sum + gang.tasks * gang.perTask.accelerators;
  }, 0);
}

function countItems(items: Iterable<unknown>): number {
  return [...items].length;
}
