import t from 'tap';
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {RecordWriter} from '../src/record_writer.js';

// Guards against placements and ends that are never written, so that their units wait for ever, because one append failed unexpectedly.
t.test(
  'an append that throws is repeated like one without a response',
  async t => {
    const clock = new ManualClock(1000);
    const sequences: number[] = [];
    const log = {
      appendFenced: async ({
        sequence,
      }: {
        sequence: number;
      }): Promise<FencedAppendOutcome> => {
        sequences.push(sequence);
        if (sequences.length === 1) {
          throw new Error('unexpected');
        }
        return {kind: 'appended', offset: 0};
      },
    };
    let written = 0;
    const batches = [{records: [], onWritten: () => written++}];
    const writer = new RecordWriter(
      log,
      {epoch: 1, holder: 'a/1'},
      {at: 0, wallTime: 0},
      () => batches.shift(),
      () => undefined,
      clock,
      new SeededRandom(1),
      new SilentLogger(),
    );
    writer.flush();
    await clock.advance(1000);
    t.same(sequences, [1, 1]);
    t.equal(written, 1);
  },
);
