/** Questions about the inventory, the workspaces and the configuration. */
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

/** The inventory as this instance knows it, with its age. */
export function viewInventory(context: DaemonContext): InventoryView {
  const domains = [...context.state.configuration.domains.keys()].sort();
  return {
    offset: context.state.nextOffset,
    freshnessAgeMs: freshnessAge(context),
    domains: domains.map(id => viewDomain(context, id)),
  };
}

function freshnessAge(context: DaemonContext): number | null {
  const age = context.freshness.getAge(context.clock.now());
  return Number.isFinite(age) ? Math.round(age) : null;
}

/** Every workspace with its promises and what it uses. */
export function viewWorkspaces(context: DaemonContext): WorkspaceView[] {
  const {workspaces, domains} = context.state.configuration;
  const active = [...domains.keys()].flatMap(id => [
    ...context.state.listActiveJobs(id),
  ]);
  const guarantees = describeAvailable(context);
  const ids = [...workspaces.keys()].sort();
  return ids.map(id => ({
    ...viewWorkspace(context, workspaces.get(id)!, active),
    guarantees: guarantees.get(id) ?? [],
  }));
}

/** Every guarantee, as it can be met with the targets that are in service and well. */
function describeAvailable(
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
    queued: count(state.listQueuedJobs(id)),
    running: count(state.listActiveJobs(id)),
    targets: targets.map(target => viewTarget(context, target)),
  };
}

/** A hold keeps starts back before, or without, a record in the log. */
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
  const own = active.filter(job => job.request.workspace === workspace.id);
  return {
    id: workspace.id,
    version: context.state.getEntityVersion(`workspace/${workspace.id}`),
    weight: workspace.weight,
    queued: context.state.countQueuedJobs(workspace.id),
    running: own.length,
    acceleratorsGuaranteed: sumAccelerators(own.filter(job => job.guaranteed)),
    acceleratorsBorrowed: sumAccelerators(own.filter(job => !job.guaranteed)),
  };
}

function sumAccelerators(jobs: readonly Job[]): number {
  return jobs.reduce((sum, {request: {gang}}) => {
    return sum + gang.tasks * gang.perTask.accelerators;
  }, 0);
}

function count(items: Iterable<unknown>): number {
  return [...items].length;
}
