/** Compares the computed figures with the limits that users set. */
import {formatFigure, formatTable, formatVerdict} from './format.mjs';
import {
  FULL_SHARE,
  computeEntryBytes,
  computeRecordRates,
  computeRenewalCost,
  computeUrgentStart,
} from './model.mjs';
import {assumptions, derived, limits, settings, twoYearSize} from './sizes.mjs';
import {computeAppendsPerSecond} from './log_table.mjs';

/** Creates the table of limits, each with its figure and whether it is met. */
export function createLimitTable(slopes) {
  const cost = computeRenewalCost(slopes, derived.leasesPerTarget);
  const {renewSeconds} = settings;
  const entries = assumptions.entriesPerDomain;
  const idlePercent = slopes.getMeasured('daemon-processor', FULL_SHARE);
  const renewalsPerSecond = derived.targetsPerDomain / renewSeconds;
  const renewalPercent = (renewalsPerSecond * cost.busyMs) / 10;
  const shardedBytes = computeEntryBytes(
    slopes,
    entries,
    cost.full,
    renewSeconds,
  );
  const singleBytes = computeEntryBytes(slopes, 1, cost.full, renewSeconds);
  const urgent = computeUrgentStart(slopes);
  const reclaimedMs = urgent.total + 2000;
  const configurationMs = settings.freshnessMs + settings.reservationMs;
  const rates = computeRecordRates(slopes, twoYearSize, derived.tasksPerJob);
  const rows = [
    createRow(
      'processor of an entry instance at rest, %',
      '`daemon-processor` at the whole size',
      idlePercent,
      limits.processorPercent,
    ),
    createRow(
      'processor of the instance that keeps a domain’s leases, %',
      `${formatFigure(idlePercent)} + ${formatFigure(renewalPercent)}`,
      idlePercent + renewalPercent,
      limits.processorPercent,
    ),
    createRow(
      'memory of an entry instance, MB',
      '`daemon-memory` at the whole size',
      slopes.getMeasured('daemon-memory', FULL_SHARE),
      limits.memoryMb,
    ),
    createRow(
      'memory of an entry instance at most, MB',
      '`daemon-memory-peak` at the whole size',
      slopes.getMeasured('daemon-memory-peak', FULL_SHARE),
      limits.memoryMb,
    ),
    createRow(
      'control bytes a second of a target',
      `${formatFigure(cost.full)} / ${renewSeconds} s`,
      cost.full / renewSeconds,
      limits.bytesPerSecond,
    ),
    createRow(
      'control bytes a second of the instance that keeps a domain’s leases',
      `${formatFigure(derived.targetsPerDomain)} targets * ${formatFigure(cost.full)} / ${renewSeconds} s + the rest`,
      singleBytes,
      limits.bytesPerSecond,
    ),
    createRow(
      `the same, sharded over ${entries} instances`,
      `${formatFigure(derived.targetsPerDomain / entries)} targets * ${formatFigure(cost.full)} / ${renewSeconds} s + the rest`,
      shardedBytes,
      limits.bytesPerSecond,
    ),
    createRow(
      'urgent start of a gang of 512 without reclaim, ms',
      `2 appends with ${formatFigure(urgent.appends)} + passes ${formatFigure(urgent.queue + urgent.decide)} + start ${formatFigure(urgent.start)}`,
      urgent.total,
      limits.urgentMs,
    ),
    createRow(
      'the same after a reclaim that uses the whole default grace, ms',
      `${formatFigure(urgent.total)} + 2,000`,
      reclaimedMs,
      limits.urgentMs,
    ),
    createRow(
      'configuration in force at the latest, ms',
      `freshness ${formatFigure(settings.freshnessMs)} + reservation ${formatFigure(settings.reservationMs)}`,
      configurationMs,
      limits.configurationMs,
    ),
    createRow(
      'appends a second in a normal hour',
      `see the log budget; ${formatFigure(rates.recordsPerSecond)} records a second`,
      computeAppendsPerSecond(slopes),
      limits.appendsPerSecond,
    ),
  ];
  const headers = ['what', 'calculation', 'figure', 'limit', 'verdict'];
  return formatTable(headers, rows);
}

function createRow(what, calculation, value, limit) {
  return [
    what,
    calculation,
    formatFigure(value),
    formatFigure(limit),
    formatVerdict(value, limit),
  ];
}
