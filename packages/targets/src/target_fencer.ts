/** Fences the targets of a domain at a takeover, and reads the leases on them. */
import type {Term} from '@galenavalve/model';
import type {Logger, Milliseconds} from '@galenavalve/shared';
import type {AddressLookup} from './gang_attempt.js';
import type {TargetClient, TargetReport} from './target_client.js';

/** Result of fencing targets with a new term. */
export interface FencingResult {
  /** Reports by target. Each of these targets refuses every lower term from now on. */
  reports: Map<string, TargetReport>;
  /** Targets that may still run work of a lower term, until its lease expires. */
  unreachable: string[];
}

/** Dependencies of a target fencer. */
export interface TargetFencerDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  logger: Logger;
  options: {callTimeoutMs: Milliseconds};
}

/** Makes targets refuse the commands of earlier schedulers. */
export class TargetFencer {
  constructor(private readonly dependencies: TargetFencerDependencies) {}

  /**
   * Fences every target in parallel. A target that has seen a higher term
   * counts as unreachable.
   */
  async fenceAll(
    targets: readonly string[],
    term: Term,
  ): Promise<FencingResult> {
    const reports = new Map<string, TargetReport>();
    const unreachable: string[] = [];
    await Promise.all(
      targets.map(async target => {
        const report = await this.fence(target, term);
        if (report) {
          reports.set(target, report);
        } else {
          unreachable.push(target);
        }
      }),
    );
    const fenced = reports.size;
    this.dependencies.logger.info('targets-fenced', {
      term,
      fenced,
      unreachable,
    });
    return {reports, unreachable};
  }

  private async fence(
    target: string,
    term: Term,
  ): Promise<TargetReport | undefined> {
    const address = this.dependencies.findAddress(target);
    if (!address) {
      return undefined;
    }
    const {client, options} = this.dependencies;
    try {
      return await client.fence(address, {term}, options.callTimeoutMs);
    } catch {
      return undefined;
    }
  }
}
