/** Targets in memory behind the client interface, with faults. */
import {
  type Clock,
  Failure,
  type Milliseconds,
  isFailure,
} from '@galenavalve/shared';
import type {
  Grant,
  LeaseReport,
  TargetAddress,
  TargetClient,
  TargetReport,
} from '../target_client.js';
import {TargetModel, type TargetModelOptions} from './target_model.js';

/** A command of the client interface. */
export type TargetCommand = keyof TargetClient;

/** What goes wrong with the messages to one target. */
export interface TargetFault {
  /** Neither commands nor answers get through. */
  silent?: boolean;
  /** Commands take effect, but their answers are lost. */
  losesAnswers?: boolean;
  /** Commands arrive this much later, even after their sender has given up. */
  delayMs?: Milliseconds;
  /** Callers whose messages do not get through. */
  cutFrom?: ReadonlySet<string>;
  /** Commands that the fault concerns; all when absent. */
  commands?: ReadonlySet<TargetCommand>;
}

/** Holds modelled targets, and the network between them and their callers. */
export class MemoryTargets {
  private readonly models = new Map<string, TargetModel>();
  private readonly faults = new Map<string, TargetFault>();
  private readonly dead = new Set<string>();
  /** Commands sent so far. */
  commandCount = 0;

  /** Each command and each answer waits for `network`, which decides their order. */
  constructor(
    private readonly clock: Clock,
    private readonly network: () => Promise<void> = () => Promise.resolve(),
  ) {}

  // Commands

  add(options: TargetModelOptions): TargetModel {
    const model = new TargetModel(options);
    this.models.set(options.id, model);
    return model;
  }

  setFault(target: string, fault: TargetFault | undefined): void {
    if (fault) {
      this.faults.set(target, fault);
    } else {
      this.faults.delete(target);
    }
  }

  /** Ends a target and all its tasks. */
  kill(target: string): void {
    this.getModel(target).restart(this.clock.now());
    this.dead.add(target);
  }

  /** Brings a killed target back, empty. */
  recover(target: string): void {
    this.dead.delete(target);
  }

  /** Lets everything on the targets happen that is due. */
  advance(): void {
    for (const model of this.models.values()) {
      model.advance(this.clock.now());
    }
  }

  // Queries

  getModel(target: string): TargetModel {
    const model = this.models.get(target);
    if (!model) {
      throw new Failure('not-found', {kind: 'target', id: target});
    }
    return model;
  }

  listIds(): string[] {
    return [...this.models.keys()];
  }

  /** The address of a target, for `findAddress`. */
  findAddress = (target: string): TargetAddress | undefined =>
    this.models.has(target)
      ? {id: target, endpoint: `memory:${target}`}
      : undefined;

  /** The targets as `caller` reaches them. */
  createClient(caller: string): TargetClient {
    return new MemoryTargetClient(this, caller);
  }

  /** Carries one command to a target, and its answer back. */
  async deliver<T>(
    call: MemoryCall,
    apply: (model: TargetModel, now: number) => T,
  ): Promise<T> {
    this.commandCount += 1;
    const {target, timeout} = call;
    const fault = this.faultOf(call);
    const isLost = fault.silent || fault.cutFrom?.has(call.caller);
    const delayMs = fault.delayMs ?? 0;
    if (isLost || delayMs >= timeout) {
      if (!isLost) {
        this.deliverLate(call, delayMs, apply);
      }
      return this.giveUp(target, timeout);
    }
    if (delayMs > 0) {
      await this.clock.sleep(delayMs);
    }
    await this.network();
    if (this.dead.has(target)) {
      throw new Failure('target-unreachable', {
        target,
        problem: 'the connection was refused',
      });
    }
    const answer = apply(this.getModel(target), this.clock.now());
    if (fault.losesAnswers) {
      return this.giveUp(target, timeout - delayMs);
    }
    await this.network();
    return answer;
  }

  private faultOf(call: MemoryCall): TargetFault {
    const fault = this.faults.get(call.target) ?? {};
    const applies = !fault.commands || fault.commands.has(call.command);
    return applies ? fault : {};
  }

  private deliverLate<T>(
    call: MemoryCall,
    delayMs: Milliseconds,
    apply: (model: TargetModel, now: number) => T,
  ): void {
    void this.clock.sleep(delayMs).then(() => {
      if (this.dead.has(call.target)) {
        return;
      }
      try {
        apply(this.getModel(call.target), this.clock.now());
      } catch (error) {
        if (!isFailure(error, 'target-refused')) {
          throw error;
        }
      }
    });
  }

  private async giveUp(target: string, after: Milliseconds): Promise<never> {
    await this.clock.sleep(after);
    throw new Failure('target-unreachable', {
      target,
      problem: `no answer within ${after} ms`,
    });
  }
}

interface MemoryCall {
  caller: string;
  target: string;
  command: TargetCommand;
  timeout: Milliseconds;
}

type Parameter<C extends TargetCommand> = Parameters<TargetClient[C]>[1];

class MemoryTargetClient implements TargetClient {
  constructor(
    private readonly targets: MemoryTargets,
    private readonly caller: string,
  ) {}

  reserve(
    target: TargetAddress,
    order: Parameter<'reserve'>,
    timeout: Milliseconds,
  ): Promise<Grant> {
    return this.targets.deliver(
      this.call(target, 'reserve', timeout),
      (model, now) => model.reserve(order, now),
    );
  }

  start(
    target: TargetAddress,
    order: Parameter<'start'>,
    timeout: Milliseconds,
  ): Promise<void> {
    return this.targets.deliver(
      this.call(target, 'start', timeout),
      (model, now) => model.start(order, now),
    );
  }

  stop(
    target: TargetAddress,
    order: Parameter<'stop'>,
    timeout: Milliseconds,
  ): Promise<LeaseReport | undefined> {
    return this.targets.deliver(
      this.call(target, 'stop', timeout),
      (model, now) => model.stop(order, now),
    );
  }

  renew(
    target: TargetAddress,
    order: Parameter<'renew'>,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.targets.deliver(
      this.call(target, 'renew', timeout),
      (model, now) => model.renew(order, now),
    );
  }

  fence(
    target: TargetAddress,
    order: Parameter<'fence'>,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.targets.deliver(
      this.call(target, 'fence', timeout),
      (model, now) => model.fence(order, now),
    );
  }

  throttle(
    target: TargetAddress,
    order: Parameter<'throttle'>,
    timeout: Milliseconds,
  ): Promise<void> {
    return this.targets.deliver(
      this.call(target, 'throttle', timeout),
      (model, now) => model.throttle(order, now),
    );
  }

  private call(
    target: TargetAddress,
    command: TargetCommand,
    timeout: Milliseconds,
  ): MemoryCall {
    return {caller: this.caller, target: target.id, command, timeout};
  }
}
