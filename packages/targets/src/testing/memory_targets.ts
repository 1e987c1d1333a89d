/** In-memory targets behind the client interface, with fault injection. */
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

/** A fault of the messages between callers and one target. */
export interface TargetFault {
  /** Neither commands nor responses arrive. */
  silent?: boolean;
  /** Commands take effect, but their responses are lost. */
  losesAnswers?: boolean;
  /** Delay of commands; they arrive even after the sender's timeout. */
  delayMs?: Milliseconds;
  /** Callers whose messages do not arrive. */
  cutFrom?: ReadonlySet<string>;
  /** Commands that the fault affects; all when absent. */
  commands?: ReadonlySet<TargetCommand>;
}

/** A set of target models, and the network between them and their callers. */
export class MemoryTargets {
  private readonly models = new Map<string, TargetModel>();
  private readonly faults = new Map<string, TargetFault>();
  private readonly killedTargets = new Set<string>();
  /** Commands sent so far. */
  commandCount = 0;

  /** Each command and each response waits for `waitForNetwork`, which determines their order. */
  constructor(
    private readonly clock: Clock,
    private readonly waitForNetwork: () => Promise<void> = () =>
      Promise.resolve(),
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

  /** Kills a target and all of its tasks. */
  kill(target: string): void {
    this.getModel(target).restart(this.clock.now());
    this.killedTargets.add(target);
  }

  /** Restarts a killed target, without leases. */
  recover(target: string): void {
    this.killedTargets.delete(target);
  }

  /** Applies all changes on the targets that are due. */
  advance(): void {
    for (const model of this.models.values()) {
      model.advance(this.clock.now());
    }
  }

  // Queries

  /** Returns the model of a target; throws `not-found` when there is none. */
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

  /** Finds the address of a target; undefined when there is none. */
  findAddress = (target: string): TargetAddress | undefined =>
    this.models.has(target)
      ? {id: target, endpoint: `memory:${target}`}
      : undefined;

  /** Creates a client that sends commands as `caller`. */
  createClient(caller: string): TargetClient {
    return new MemoryTargetClient(this, caller);
  }

  /** Delivers one command to a target, and its response to the caller; `apply` executes the command on the target's model. */
  async deliver<T>(
    call: MemoryCall,
    apply: (model: TargetModel, now: number) => T,
  ): Promise<T> {
    this.commandCount += 1;
    const {target, timeout} = call;
    const fault = this.findFault(call);
    const isLost = fault.silent || fault.cutFrom?.has(call.caller);
    const delayMs = fault.delayMs ?? 0;
    if (isLost || delayMs >= timeout) {
      if (!isLost) {
        this.deliverLate(call, delayMs, apply);
      }
      return this.failAfterTimeout(target, timeout);
    }
    if (delayMs > 0) {
      await this.clock.sleep(delayMs);
    }
    await this.waitForNetwork();
    if (this.killedTargets.has(target)) {
      throw new Failure('target-unreachable', {
        target,
        problem: 'the connection was refused',
      });
    }
    const response = apply(this.getModel(target), this.clock.now());
    if (fault.losesAnswers) {
      return this.failAfterTimeout(target, timeout - delayMs);
    }
    await this.waitForNetwork();
    return response;
  }

  private findFault(call: MemoryCall): TargetFault {
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
      if (this.killedTargets.has(call.target)) {
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

  private async failAfterTimeout(
    target: string,
    timeoutMs: Milliseconds,
  ): Promise<never> {
    await this.clock.sleep(timeoutMs);
    throw new Failure('target-unreachable', {
      target,
      problem: `no response within ${timeoutMs} ms`,
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
    command: Parameter<'reserve'>,
    timeout: Milliseconds,
  ): Promise<Grant> {
    return this.targets.deliver(
      this.createCall(target, 'reserve', timeout),
      (targetModel, now) => targetModel.reserve(command, now),
    );
  }

  start(
    target: TargetAddress,
    command: Parameter<'start'>,
    timeout: Milliseconds,
  ): Promise<void> {
    return this.targets.deliver(
      this.createCall(target, 'start', timeout),
      (targetModel, now) => targetModel.start(command, now),
    );
  }

  stop(
    target: TargetAddress,
    command: Parameter<'stop'>,
    timeout: Milliseconds,
  ): Promise<LeaseReport | undefined> {
    return this.targets.deliver(
      this.createCall(target, 'stop', timeout),
      (targetModel, now) => targetModel.stop(command, now),
    );
  }

  renew(
    target: TargetAddress,
    command: Parameter<'renew'>,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.targets.deliver(
      this.createCall(target, 'renew', timeout),
      (targetModel, now) => targetModel.renew(command, now),
    );
  }

  fence(
    target: TargetAddress,
    command: Parameter<'fence'>,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.targets.deliver(
      this.createCall(target, 'fence', timeout),
      (targetModel, now) => targetModel.fence(command, now),
    );
  }

  throttle(
    target: TargetAddress,
    command: Parameter<'throttle'>,
    timeout: Milliseconds,
  ): Promise<void> {
    return this.targets.deliver(
      this.createCall(target, 'throttle', timeout),
      (targetModel, now) => targetModel.throttle(command, now),
    );
  }

  private createCall(
    target: TargetAddress,
    command: TargetCommand,
    timeout: Milliseconds,
  ): MemoryCall {
    return {caller: this.caller, target: target.id, command, timeout};
  }
}
