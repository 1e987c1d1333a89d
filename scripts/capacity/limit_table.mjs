/** Each limit of the users, met or missed. */
import {figure, table, verdict} from './format.mjs';
import {
  WHOLE,
  entryBytes,
  recordRates,
  renewal,
  urgentStart,
} from './model.mjs';
import {assumed, derived, limits, settings, target} from './sizes.mjs';
import {appendsPerSecond} from './log_table.mjs';

/** The table of limits. */
export function limitTable(slopes) {
  const cost = renewal(slopes, derived.leasesPerTarget);
  const {renewSeconds} = settings;
  const entries = assumed.entriesPerDomain;
  const rest = slopes.measured('daemon-processor', WHOLE);
  const rate = derived.targetsPerDomain / renewSeconds;
  const keeping = (rate * cost.busyMs) / 10;
  const sharded = entryBytes(slopes, entries, cost.full, renewSeconds);
  const single = entryBytes(slopes, 1, cost.full, renewSeconds);
  const urgent = urgentStart(slopes);
  const reclaimed = urgent.total + 2000;
  const bound = settings.freshnessMs + settings.reservationMs;
  const rates = recordRates(slopes, target, derived.tasksPerJob);
  const rows = [
    line(
      'processor of an entry instance at rest, %',
      '`daemon-processor` at the whole size',
      rest,
      limits.processorPercent,
    ),
    line(
      'processor of the instance that keeps a domain’s leases, %',
      `${figure(rest)} + ${figure(keeping)}`,
      rest + keeping,
      limits.processorPercent,
    ),
    line(
      'memory of an entry instance, MB',
      '`daemon-memory` at the whole size',
      slopes.measured('daemon-memory', WHOLE),
      limits.memoryMb,
    ),
    line(
      'memory of an entry instance at most, MB',
      '`daemon-memory-peak` at the whole size',
      slopes.measured('daemon-memory-peak', WHOLE),
      limits.memoryMb,
    ),
    line(
      'control bytes a second of a target',
      `${figure(cost.full)} / ${renewSeconds} s`,
      cost.full / renewSeconds,
      limits.bytesPerSecond,
    ),
    line(
      'control bytes a second of the instance that keeps a domain’s leases',
      `${figure(derived.targetsPerDomain)} targets * ${figure(cost.full)} / ${renewSeconds} s + the rest`,
      single,
      limits.bytesPerSecond,
    ),
    line(
      `the same, sharded over ${entries} instances`,
      `${figure(derived.targetsPerDomain / entries)} targets * ${figure(cost.full)} / ${renewSeconds} s + the rest`,
      sharded,
      limits.bytesPerSecond,
    ),
    line(
      'urgent start of a gang of 512 without reclaim, ms',
      `2 appends with ${figure(urgent.appends)} + passes ${figure(urgent.queue + urgent.decide)} + start ${figure(urgent.start)}`,
      urgent.total,
      limits.urgentMs,
    ),
    line(
      'the same after a reclaim that uses the whole default grace, ms',
      `${figure(urgent.total)} + 2,000`,
      reclaimed,
      limits.urgentMs,
    ),
    line(
      'configuration in force at the latest, ms',
      `freshness ${figure(settings.freshnessMs)} + reservation ${figure(settings.reservationMs)}`,
      bound,
      limits.configurationMs,
    ),
    line(
      'appends a second in a normal hour',
      `see the log budget; ${figure(rates.recordsPerSecond)} records a second`,
      appendsPerSecond(slopes),
      limits.appendsPerSecond,
    ),
  ];
  const heads = ['what', 'calculation', 'figure', 'limit', 'verdict'];
  return table(heads, rows);
}

function line(what, calculation, value, limit) {
  return [
    what,
    calculation,
    figure(value),
    figure(limit),
    verdict(value, limit),
  ];
}
