import t from 'tap';
import {
  type ActiveUnit,
  type CommandOutcome,
  DEFAULT_SETTINGS,
  DurationEstimator,
  RunTracker,
  type TargetPort,
  TargetState,
} from '@galenavalve/dispatch';
import {ManualClock, SilentLogger} from '@galenavalve/shared';
import {CallPacer} from '../src/call_pacer.js';
import {type CommandDelegate, CommandSender} from '../src/command_sender.js';
import {createJob, createStep, createTarget} from './fixtures.js';

const NOW = 10_000;

/** Creates a sender; the port records commands and responds to each with `respond`. */
function createSender(
  respond: (command: string) => CommandOutcome | Promise<CommandOutcome>,
  values: Partial<CommandDelegate> = {},
) {
  const clock = new ManualClock(NOW);
  const logger = new SilentLogger();
  const commands: string[] = [];
  const reassigned: TargetState[] = [];
  const send = (command: string) => async () => {
    commands.push(command);
    return respond(command);
  };
  const port: TargetPort = {
    start: send('start'),
    stop: send('stop'),
    poll: async () => ({kind: 'unknown', problem: 'not used'}),
  };
  const tracker = new RunTracker(
    {
      onChange: () => undefined,
      onStop: allocation => void sender.stop(allocation),
    },
    new DurationEstimator(),
    logger,
  );
  const delegate: CommandDelegate = {
    epoch: 1,
    isClosed: false,
    onFenced: () => undefined,
    onContested: target => target.onContested(clock.now()),
    requestListing: () => undefined,
    onAddressReassigned: target => reassigned.push(target),
    isLeaseExtensionAllowed: () => true,
    isEvacuated: () => false,
    onTicketRefused: () => undefined,
    findTicket: () => undefined,
    ...values,
  };
  const sender = new CommandSender(
    delegate,
    port,
    tracker,
    DEFAULT_SETTINGS,
    new CallPacer(clock),
    clock,
    logger,
  );
  return {clock, sender, tracker, commands, reassigned};
}

/** Places a single task on `target`; its start command has not been sent. */
function placeUnit(tracker: RunTracker, target: TargetState): ActiveUnit {
  const unit = createJob('1', createStep({isGang: false, count: 1})).units[0]!;
  unit.progress.run = 1;
  unit.phase = 'recording';
  tracker.allocate(unit, 0, target, 1, NOW);
  return unit;
}

function createRespondingTarget(): TargetState {
  const target = createTarget('a', 'r', NOW);
  target.onResponse(500, NOW, NOW);
  return target;
}

const DONE: CommandOutcome = {kind: 'done', clock: 600};
const UNKNOWN: CommandOutcome = {kind: 'unknown', problem: 'no response'};

t.test('a placement is started on a target that takes work', async t => {
  const {sender, tracker, commands, clock} = createSender(() => DONE);
  const unit = placeUnit(tracker, createRespondingTarget());
  sender.startUnit(unit);
  await clock.advance(10);
  t.same(commands, ['start']);
  t.equal(unit.phase, 'running');
});

// Guards against work that starts on a leaving target because the record of its placement was delayed by an outage.
t.test(
  'a placement is not started on a target that drains since it was made',
  async t => {
    const {sender, tracker, commands, clock} = createSender(() => DONE);
    const target = createRespondingTarget();
    const unit = placeUnit(tracker, target);
    target.info = {...target.info, isDraining: true};
    sender.startUnit(unit);
    await clock.advance(10);
    t.notOk(commands.includes('start'));
    t.equal(unit.stopReason, 'a target drains');
  },
);

// Guards against work that starts in a failure domain seconds after its evacuation was acknowledged.
t.test(
  'a start is not sent again in a domain that was evacuated meanwhile',
  async t => {
    let isEvacuated = false;
    const {sender, tracker, commands, clock} = createSender(
      command => (command === 'start' ? UNKNOWN : DONE),
      {isEvacuated: () => isEvacuated},
    );
    const unit = placeUnit(tracker, createRespondingTarget());
    sender.startUnit(unit);
    await clock.advance(50);
    isEvacuated = true;
    await clock.advance(1000);
    t.same(commands, ['start', 'stop']);
    t.equal(unit.phase, 'stopping');
  },
);

// Guards against a paused leader that starts work after another one has taken over and given the run up.
t.test(
  'a leader whose leadership was not confirmed recently sends no start',
  async t => {
    const {sender, tracker, commands, clock} = createSender(() => DONE, {
      isLeaseExtensionAllowed: () => false,
    });
    sender.startUnit(placeUnit(tracker, createRespondingTarget()));
    await clock.advance(10);
    t.notOk(commands.includes('start'));
  },
);

// Guards against capacity and work that wait for a lease although the target is known to have ended.
t.test(
  'a command to an address that another target uses reports that at once',
  async t => {
    const OTHER: CommandOutcome = {kind: 'other-life'};
    const {sender, tracker, clock, reassigned} = createSender(() => OTHER);
    const target = createRespondingTarget();
    const unit = placeUnit(tracker, target);
    const allocation = unit.allocations[0]!;
    allocation.state = 'starting';
    void sender.stop(allocation);
    await clock.advance(10);
    t.same(reassigned, [target]);
  },
);

// Guards against a task that waits for a lease although no target can have received its start (review/8).
t.test(
  'a run whose starts all met refused connections is released when they are given up',
  async t => {
    const UNSENT: CommandOutcome = {kind: 'unsent', problem: 'refused'};
    const {sender, tracker, commands, clock} = createSender(() => UNSENT);
    const target = createRespondingTarget();
    const unit = placeUnit(tracker, target);
    sender.startUnit(unit);
    await clock.advance(2000);
    t.ok(commands.length > 1);
    t.notOk(commands.includes('stop'));
    t.equal(unit.phase, 'waiting');
    t.equal(target.allocations.size, 0);
  },
);

// Guards against two runs of a task because a start without a response was taken for one that was never sent.
t.test(
  'a run with a start that got no response is stopped although a later start met a refused connection',
  async t => {
    let starts = 0;
    const {sender, tracker, commands, clock} = createSender(() =>
      starts++ === 0 ? UNKNOWN : {kind: 'unsent', problem: 'refused'},
    );
    const target = createRespondingTarget();
    const unit = placeUnit(tracker, target);
    sender.startUnit(unit);
    await clock.advance(2000);
    t.ok(commands.includes('stop'));
    t.equal(target.allocations.size, 1);
  },
);

// Guards against a run that is blamed for a crash of its target which was over before the start was sent.
t.test(
  'a run whose first start meets another target was never there',
  async t => {
    const OTHER: CommandOutcome = {kind: 'other-life'};
    const {sender, tracker, clock, reassigned} = createSender(() => OTHER);
    const target = createRespondingTarget();
    const unit = placeUnit(tracker, target);
    sender.startUnit(unit);
    await clock.advance(10);
    t.same(reassigned, [target]);
    t.equal(unit.phase, 'waiting');
    t.equal(target.allocations.size, 0);
  },
);

// Guards against a member that runs unknown to the leader, and then twice, because another member was refused in the same turn in which its own start was answered.
t.test(
  'a member whose start was answered is stopped when another member is refused at the same time',
  async t => {
    const REFUSED: CommandOutcome = {
      kind: 'refused',
      reason: 'room',
      clock: 600,
    };
    let starts = 0;
    const {sender, tracker, commands, clock} = createSender(command =>
      command === 'start' && starts++ === 0 ? REFUSED : DONE,
    );
    const target = createRespondingTarget();
    const unit = createJob('1', createStep({count: 2})).units[0]!;
    unit.progress.run = 1;
    unit.phase = 'recording';
    tracker.allocate(unit, 0, target, 1, NOW);
    tracker.allocate(unit, 1, target, 1, NOW);
    sender.startUnit(unit);
    await clock.advance(100);
    t.ok(commands.includes('stop'), 'the second member is stopped');
    t.not(unit.phase, 'waiting', 'the unit waits for the end of its run');
    t.ok(target.findAllocation('1.0.0.1', 1), 'its allocation is held');
  },
);
