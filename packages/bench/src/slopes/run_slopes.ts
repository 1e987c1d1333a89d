/** Measures every slope and formats the report. */
import {arch, cpus, release} from 'node:os';
import {measureLogReads} from './log_read_slopes.js';
import {measureDaemons} from './daemon_slopes.js';
import {measureDecisions} from './decision_slopes.js';
import {measureGangStarts} from './gang_slopes.js';
import {measureLedger} from './ledger_slopes.js';
import {measurePeers} from './peer_slopes.js';
import {measureRenewals} from './renewal_slopes.js';
import type {Slope} from './slope.js';
import {measureSnapshots} from './snapshot_slopes.js';

/** All slopes, with the machine on which they were measured. */
export interface SlopeReport {
  /** Start time of the run in ISO 8601 format. */
  date: string;
  machine: {
    processor: string;
    cores: number;
    kernel: string;
    architecture: string;
    node: string;
  };
  /** Duration of the run. */
  seconds: number;
  slopes: Slope[];
}

const MEASUREMENTS = [
  measureLedger,
  measureSnapshots,
  measureLogReads,
  measureDecisions,
  measureRenewals,
  measureGangStarts,
  measurePeers,
  measureDaemons,
];

/** Measures every slope; takes less than two minutes. */
export async function runSlopes(): Promise<SlopeReport> {
  const startedAt = performance.now();
  const date = new Date().toISOString();
  const slopes: Slope[] = [];
  for (const measure of MEASUREMENTS) {
    slopes.push(...(await measure()));
  }
  return {
    date,
    machine: describeMachine(),
    seconds: Math.round((performance.now() - startedAt) / 1000),
    slopes,
  };
}

/** Formats one line of text for each slope. */
export function formatSlopes({slopes}: SlopeReport): string {
  const rows = slopes.map(slope => {
    const {id, over, measured, intercept, residual, points} = slope;
    const line = `${formatNumber(intercept)} + ${formatNumber(slope.slope)} x`;
    const share = `${(residual * 100).toFixed(1)}%`;
    return `${id}: ${measured} over ${over}: ${line} (${points.length} points, residual ${share})`;
  });
  return rows.join('\n');
}

function describeMachine(): SlopeReport['machine'] {
  const processors = cpus();
  return {
    processor: processors[0]?.model ?? 'unknown',
    cores: processors.length,
    kernel: release(),
    architecture: arch(),
    node: process.version,
  };
}

function formatNumber(value: number): string {
  return Number(value.toPrecision(4)).toString();
}
