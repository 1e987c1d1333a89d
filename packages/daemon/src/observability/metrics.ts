/** Metrics of a daemon, by prom-client. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 60, 600,
];

/** Counters, gauges and histograms; names follow the conventions of Prometheus. */
export class Metrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'galenavalve_http_requests_total',
    help: 'HTTP requests by route and status.',
    labelNames: ['route', 'status'],
    registers: [this.registry],
  });

  readonly submitToStart = new Histogram({
    name: 'galenavalve_submit_to_start_seconds',
    help: 'Time from acceptance of a job to its first start.',
    labelNames: ['urgent'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  readonly foldedRecords = new Counter({
    name: 'galenavalve_records_folded_total',
    help: 'Records folded by type and verdict.',
    labelNames: ['type', 'verdict'],
    registers: [this.registry],
  });

  readonly logOffset = new Gauge({
    name: 'galenavalve_log_offset',
    help: 'Offset up to which the log is folded.',
    registers: [this.registry],
  });

  readonly freshnessAge = new Gauge({
    name: 'galenavalve_freshness_age_seconds',
    help: 'Time since the configuration was known to be current.',
    registers: [this.registry],
  });

  readonly schedulerActive = new Gauge({
    name: 'galenavalve_scheduler_active',
    help: 'Whether this instance schedules its failure domain.',
    registers: [this.registry],
  });

  readonly heldCallers = new Gauge({
    name: 'galenavalve_held_callers',
    help: 'Callers that wait for an answer.',
    registers: [this.registry],
  });

  readonly cpu = new Gauge({
    name: 'galenavalve_process_cpu_seconds',
    help: 'Processor time used by the process.',
    registers: [this.registry],
  });

  readonly residentMemory = new Gauge({
    name: 'galenavalve_process_resident_memory_bytes',
    help: 'Resident memory of the process.',
    registers: [this.registry],
  });

  readonly peerBytes = new Gauge({
    name: 'galenavalve_peer_bytes',
    help: 'Bytes exchanged with peers by direction.',
    labelNames: ['direction'],
    registers: [this.registry],
  });

  readonly platformBytes = new Gauge({
    name: 'galenavalve_platform_bytes',
    help: "Bytes exchanged with the platform's log, list and targets by direction.",
    labelNames: ['direction'],
    registers: [this.registry],
  });

  /** Returns the body of `/metrics` in the text format of Prometheus. */
  async render(): Promise<string> {
    const usage = process.cpuUsage();
    this.cpu.set((usage.user + usage.system) / 1e6);
    this.residentMemory.set(process.memoryUsage.rss());
    return this.registry.metrics();
  }
}
