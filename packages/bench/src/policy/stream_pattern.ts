/** Load and fault patterns of the policy benchmark. Times are in milliseconds from the start of the stream. */
import type {Milliseconds} from '@galenavalve/shared';

/** A period in which one kind of job is submitted more often. */
export interface Burst {
  kind: string;
  from: Milliseconds;
  until: Milliseconds;
  /** Factor on the rate of submissions. */
  factor: number;
}

/** A fault that affects a share of the targets, or the log. */
export interface StreamFault {
  kind:
    | 'fail'
    | 'hang'
    | 'slow'
    | 'cut'
    | 'domain-cut'
    | 'leave'
    | 'late-commands'
    | 'log-silent'
    | 'log-slow'
    | 'leader-killed';
  from: Milliseconds;
  until: Milliseconds;
  /** Share of the targets, or of the commands, that are affected. */
  share?: number;
  /** Factor by which slow targets and a slow log take longer. */
  factor?: number;
}

/** A pattern of load and faults. */
export interface StreamPattern {
  name: string;
  /** Factor on all rates. */
  load: number;
  bursts: readonly Burst[];
  faults: readonly StreamFault[];
  /** Share of all jobs that is cancelled 1 to 4 s after the submission. */
  cancelShare?: number;
}

const URGENT_BURST: Burst = {
  kind: 'export',
  from: 5000,
  until: 11_000,
  factor: 2.4,
};

/** All patterns. */
export const PATTERNS: readonly StreamPattern[] = [
  {name: 'steady', load: 0.7, bursts: [], faults: []},
  {name: 'heavy', load: 1, bursts: [], faults: []},
  {name: 'urgent-burst', load: 1, bursts: [URGENT_BURST], faults: []},
  {
    name: 'wide-burst',
    load: 0.9,
    bursts: [{kind: 'merge', from: 12_000, until: 16_000, factor: 2.8}],
    faults: [],
  },
  {
    name: 'failing-targets',
    load: 0.9,
    bursts: [URGENT_BURST],
    faults: [{kind: 'fail', from: 4500, until: 11_000, share: 0.1}],
  },
  {
    name: 'stalled-targets',
    load: 0.9,
    bursts: [URGENT_BURST],
    faults: [{kind: 'hang', from: 3000, until: 9000, share: 0.1}],
  },
  {
    name: 'slow-targets',
    load: 0.9,
    bursts: [],
    faults: [
      {kind: 'slow', from: 12_000, until: 18_000, share: 0.15, factor: 5},
    ],
  },
  {
    name: 'leaving-targets',
    load: 0.9,
    bursts: [URGENT_BURST],
    faults: [{kind: 'leave', from: 9000, until: 13_000, share: 0.13}],
  },
  {
    name: 'late-commands',
    load: 0.9,
    bursts: [URGENT_BURST],
    faults: [{kind: 'late-commands', from: 4000, until: 10_000, share: 0.05}],
  },
  {
    name: 'log-outage',
    load: 0.9,
    bursts: [],
    faults: [{kind: 'log-silent', from: 18_000, until: 23_000}],
  },
  {
    name: 'slow-log',
    load: 0.9,
    bursts: [],
    faults: [{kind: 'log-slow', from: 11_000, until: 16_000, factor: 50}],
  },
  {
    name: 'domain-cut',
    load: 0.8,
    bursts: [],
    faults: [{kind: 'domain-cut', from: 18_000, until: 23_500}],
  },
  {
    name: 'leader-killed',
    load: 0.9,
    bursts: [],
    faults: [{kind: 'leader-killed', from: 15_000, until: 15_000}],
  },
  {
    name: 'stalls-then-outage',
    load: 1.1,
    bursts: [URGENT_BURST],
    faults: [
      {kind: 'hang', from: 5000, until: 11_000, share: 0.1},
      {kind: 'late-commands', from: 5500, until: 7500, share: 0.05},
      {kind: 'log-silent', from: 20_000, until: 27_000},
      {kind: 'domain-cut', from: 22_500, until: 29_000},
    ],
  },
  {
    name: 'failures-and-departures',
    load: 1.1,
    bursts: [URGENT_BURST],
    faults: [
      {kind: 'fail', from: 4500, until: 11_000, share: 0.1},
      {kind: 'leave', from: 9200, until: 13_000, share: 0.13},
      {kind: 'leader-killed', from: 20_000, until: 20_000},
    ],
    cancelShare: 0.1,
  },
  {
    name: 'cancellations',
    load: 1,
    bursts: [URGENT_BURST],
    faults: [],
    cancelShare: 0.25,
  },
];
