/** Formats workspaces and the inventory as text. */
import type {
  DomainView,
  GuaranteeView,
  InventoryView,
  TargetView,
  WorkspaceView,
} from '@galenavalve/model';
import {type Column, renderTable} from './table.js';
import {formatCount, formatDuration} from './format.js';

const workspaceColumns: Column<WorkspaceView>[] = [
  {title: 'workspace', text: view => view.id},
  {title: 'weight', text: view => String(view.weight), alignRight: true},
  {title: 'queued', text: view => String(view.queued), alignRight: true},
  {title: 'running', text: view => String(view.running), alignRight: true},
  {
    title: 'guaranteed',
    text: view => String(view.acceleratorsGuaranteed),
    alignRight: true,
  },
  {
    title: 'borrowed',
    text: view => String(view.acceleratorsBorrowed),
    alignRight: true,
  },
  {
    title: 'guarantees',
    text: view => view.guarantees.map(describeGuarantee).join(', '),
  },
];

const domainColumns: Column<DomainView>[] = [
  {title: 'domain', text: view => view.id},
  {title: 'state', text: view => view.state},
  {title: 'scheduler', text: view => view.scheduler ?? '-'},
  {title: 'queued', text: view => String(view.queued), alignRight: true},
  {title: 'running', text: view => String(view.running), alignRight: true},
  {title: 'accelerators', text: formatAcceleratorUse, alignRight: true},
];

const targetColumns: Column<TargetView>[] = [
  {title: 'target', text: view => view.id},
  {title: 'rack', text: view => view.rack},
  {title: 'state', text: view => view.state},
  {title: 'condition', text: view => view.condition},
  {title: 'tasks', text: view => String(view.tasks), alignRight: true},
  {
    title: 'accelerators',
    text: view => `${view.acceleratorsUsed}/${view.accelerators}`,
    alignRight: true,
  },
];

/** Renders workspaces as a table. */
export function renderWorkspaces(views: readonly WorkspaceView[]): string {
  return views.length === 0
    ? 'no workspaces'
    : renderTable(workspaceColumns, views);
}

/** Renders failure domains as a table, followed by the targets of each if `targets` is set. */
export function renderInventory(
  view: InventoryView,
  {targets}: {targets: boolean},
): string {
  const parts = [
    renderTable(domainColumns, view.domains),
    `read up to offset ${view.offset}, ${describeFreshness(view)}`,
  ];
  if (targets) {
    for (const domain of view.domains) {
      parts.push('', renderTable(targetColumns, domain.targets));
    }
  }
  return parts.join('\n');
}

/** Renders the state of a failure domain that is being drained or restored. */
export function renderDomainProgress(view: DomainView): string {
  const running = formatCount(view.running, 'job');
  const queued = formatCount(view.queued, 'job');
  return `${view.id} is ${view.state}: ${running} running, ${queued} queued`;
}

function describeFreshness({freshnessAgeMs}: InventoryView): string {
  return freshnessAgeMs === null
    ? 'not known to be current'
    : `known to be current ${formatDuration(freshnessAgeMs)} ago`;
}

function describeGuarantee(view: GuaranteeView): string {
  const guarantee = `${view.promised} ${view.level} in ${view.domain}`;
  return view.satisfiable < view.promised
    ? `${guarantee} (short: ${view.satisfiable} can be met)`
    : guarantee;
}

function formatAcceleratorUse({targets}: DomainView): string {
  const used = targets.reduce((sum, view) => sum + view.acceleratorsUsed, 0);
  const total = targets.reduce((sum, view) => sum + view.accelerators, 0);
  return `${used}/${total}`;
}
