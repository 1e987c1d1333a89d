/** How many entry instances a failure domain needs. */
import {figure, table} from './format.mjs';
import {
  WHOLE,
  entryBytes,
  fewestEntries,
  fixedBytes,
  renewal,
} from './model.mjs';
import {assumed, derived, limits} from './sizes.mjs';

/** Time between two renewals, in seconds, and whether a report has only what changed. */
const VARIANTS = [
  {renewSeconds: 1, isFull: true},
  {renewSeconds: 2, isFull: true},
  {renewSeconds: 10, isFull: true},
  {renewSeconds: 10, isFull: false},
  {renewSeconds: 30, isFull: true},
  {renewSeconds: 30, isFull: false},
];

/** Peers of the domain that an instance would beat if a full mesh cost too much. */
const MOST_PEERS = 8;

/** The tables about the number of entry instances. */
export function entryTables(slopes) {
  return {
    'entry-bytes': bytesTable(slopes),
    'entry-counts': countTable(slopes),
  };
}

function bytesTable(slopes) {
  const entries = assumed.entriesPerDomain;
  const fixed = fixedBytes(slopes, entries);
  const rows = [
    ['reads of the log', fixed.log],
    ['records', fixed.records],
    ['heartbeats', fixed.beats],
    ['before any lease', fixed.total],
    ['left for leases', limits.bytesPerSecond - fixed.total],
  ];
  return table(
    [`an entry instance, of ${entries} of its domain`, 'bytes a second'],
    rows.map(([what, value]) => [what, figure(value)]),
  );
}

function countTable(slopes) {
  const cost = renewal(slopes, derived.leasesPerTarget);
  const rest = slopes.measured('daemon-processor', WHOLE);
  const entries = assumed.entriesPerDomain;
  const rows = VARIANTS.map(({renewSeconds, isFull}) => {
    const bytes = isFull ? cost.full : cost.empty;
    const keeping =
      (derived.targetsPerDomain / renewSeconds / entries) * cost.busyMs;
    const fewest = mostPeers =>
      fewestEntries(
        slopes,
        bytes,
        renewSeconds,
        limits.bytesPerSecond,
        mostPeers,
      );
    return [
      `${renewSeconds} s`,
      isFull ? 'whole report' : 'only what changed',
      figure(bytes),
      figure(entryBytes(slopes, entries, bytes, renewSeconds)),
      figure(fewest(Infinity)),
      figure(fewest(MOST_PEERS)),
      figure(keeping / 10 + rest),
    ];
  });
  return table(
    [
      'renewal every',
      'report',
      'bytes a renewal',
      `bytes a second of an instance, of ${entries}`,
      'fewest instances within 5 KB/s, beats to all of the domain',
      `the same, beats to ${MOST_PEERS} of them`,
      `processor of an instance, of ${entries}, %`,
    ],
    rows,
  );
}
