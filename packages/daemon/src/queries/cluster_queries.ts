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
import type {Node} from '../node.js';

/** The inventory as this instance knows it, with its age. */
export function viewInventory(node: Node): InventoryView {
  const domains = [...node.state.configuration.domains.keys()].sort();
  return {
    offset: node.state.nextOffset,
    freshnessAgeMs: freshnessAge(node),
    domains: domains.map(id => viewDomain(node, id)),
  };
}

function freshnessAge(node: Node): number | null {
  const age = node.freshness.ageAt(node.clock.now());
  return Number.isFinite(age) ? Math.round(age) : null;
}

/** Every workspace with its promises and what it uses. */
export function viewWorkspaces(node: Node): WorkspaceView[] {
  const {workspaces, domains} = node.state.configuration;
  const active = [...domains.keys()].flatMap(id => [
    ...node.state.listActiveJobs(id),
  ]);
  const guarantees = describeAvailable(node);
  const ids = [...workspaces.keys()].sort();
  return ids.map(id => ({
    ...viewWorkspace(node, workspaces.get(id)!, active),
    guarantees: guarantees.get(id) ?? [],
  }));
}

/** Every guarantee, as it can be met with the targets that are in service and well. */
function describeAvailable(node: Node): Map<string, GuaranteeView[]> {
  const {configuration} = node.state;
  const isInService = createInServiceFilter(configuration);
  return listGuaranteeViews(
    configuration,
    target =>
      isInService(target) &&
      node.mirrorOf(target.domain).cells.getCondition(target.id) === 'well',
  );
}

function viewDomain(node: Node, id: string): DomainView {
  const {state} = node;
  const domain = state.configuration.domains.get(id)!;
  const targets = [...state.configuration.targets.values()].filter(
    target => target.domain === id,
  );
  targets.sort((a, b) => (a.id < b.id ? -1 : 1));
  return {
    id,
    region: domain.region,
    version: state.getEntityVersion(`domain/${id}`),
    state: viewState(node, domain),
    scheduler: state.getSchedulerTerm(id)?.instance,
    queued: count(state.listQueuedJobs(id)),
    running: count(state.listActiveJobs(id)),
    targets: targets.map(target => viewTarget(node, target)),
  };
}

/** A hold keeps starts back before, or without, a record in the log. */
function viewState(node: Node, {id, state}: Domain): string {
  const isHeld = state === 'in-service' && node.mesh.isHeld(`domain/${id}`);
  return isHeld ? 'held' : state;
}

function viewTarget(node: Node, target: Target): TargetView {
  const {cells} = node.mirrorOf(target.domain);
  return {
    id: target.id,
    rack: target.rack,
    version: node.state.getEntityVersion(`target/${target.id}`),
    state: target.state,
    accelerators: target.accelerators,
    acceleratorsUsed: cells.countUsedAccelerators(target.id),
    tasks: cells.countTasksOn(target.id),
    condition: cells.getCondition(target.id),
  };
}

function viewWorkspace(
  node: Node,
  workspace: Workspace,
  active: readonly Job[],
): Omit<WorkspaceView, 'guarantees'> {
  const own = active.filter(job => job.request.workspace === workspace.id);
  return {
    id: workspace.id,
    version: node.state.getEntityVersion(`workspace/${workspace.id}`),
    weight: workspace.weight,
    queued: node.state.countQueuedJobs(workspace.id),
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
