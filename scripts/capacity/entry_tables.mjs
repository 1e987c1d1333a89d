/** Creates the tables about the number of entry instances that a failure domain needs. */
import {formatFigure, formatTable} from './format.mjs';
import {
  FULL_SHARE,
  computeEntryBytes,
  findMinEntries,
  computeFixedBytes,
  computeRenewalCost,
} from './model.mjs';
import {assumptions, derived, limits} from './sizes.mjs';

/** Compared renewal intervals, each with full reports or with reports of changes only. */
const VARIANTS = [
  {renewSeconds: 1, isFull: true},
  {renewSeconds: 2, isFull: true},
  {renewSeconds: 10, isFull: true},
  {renewSeconds: 10, isFull: false},
  {renewSeconds: 30, isFull: true},
  {renewSeconds: 30, isFull: false},
];

/** Number of peers in its domain to which an instance sends heartbeats when a full mesh costs too much. */
const MAX_PEERS = 8;

/** Creates the tables by the name of their markers. */
export function createEntryTables(slopes) {
  return {
    'entry-bytes': createBytesTable(slopes),
    'entry-counts': createCountTable(slopes),
  };
}

function createBytesTable(slopes) {
  const entries = assumptions.entriesPerDomain;
  const fixed = computeFixedBytes(slopes, entries);
  const rows = [
    ['reads of the log', fixed.log],
    ['records', fixed.records],
    ['heartbeats', fixed.heartbeats],
    ['before any lease', fixed.total],
    ['left for leases', limits.bytesPerSecond - fixed.total],
  ];
  return formatTable(
    [`an entry instance, of ${entries} of its domain`, 'bytes a second'],
    rows.map(([what, value]) => [what, formatFigure(value)]),
  );
}

function createCountTable(slopes) {
  const cost = computeRenewalCost(slopes, derived.leasesPerTarget);
  const idlePercent = slopes.getMeasured('daemon-processor', FULL_SHARE);
  const entries = assumptions.entriesPerDomain;
  const rows = VARIANTS.map(({renewSeconds, isFull}) => {
    const bytes = isFull ? cost.full : cost.empty;
    const renewalBusyMsPerSecond =
      (derived.targetsPerDomain / renewSeconds / entries) * cost.busyMs;
    const findMin = maxPeers =>
      findMinEntries(
        slopes,
        bytes,
        renewSeconds,
        limits.bytesPerSecond,
        maxPeers,
      );
    return [
      `${renewSeconds} s`,
      isFull ? 'whole report' : 'only what changed',
      formatFigure(bytes),
      formatFigure(computeEntryBytes(slopes, entries, bytes, renewSeconds)),
      formatFigure(findMin(Infinity)),
      formatFigure(findMin(MAX_PEERS)),
      formatFigure(renewalBusyMsPerSecond / 10 + idlePercent),
    ];
  });
  return formatTable(
    [
      'renewal every',
      'report',
      'bytes a renewal',
      `bytes a second of an instance, of ${entries}`,
      'fewest instances within 5 KB/s, beats to all of the domain',
      `the same, beats to ${MAX_PEERS} of them`,
      `processor of an instance, of ${entries}, %`,
    ],
    rows,
  );
}
