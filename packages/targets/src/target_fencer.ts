/** Reads back what runs on a domain's targets when a new scheduler takes over. */
import type {Term} from '@galenavalve/model';
import type {Logger, Milliseconds} from '@galenavalve/shared';
import type {AddressLookup} from './gang_attempt.js';
import type {TargetClient, TargetReport} from './target_client.js';

/** What the targets answered to a new term. */
export interface FencingResult {
  /** By target. Each of these refuses every lower term from now on. */
  reports: Map<string, TargetReport>;
  /** May still run work of a lower term, until its lease lapses. */
  unreachable: string[];
}

/** What the reader works with. */
export interface TargetFencerDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  logger: Logger;
  options: {callTimeoutMs: Milliseconds};
}

/** Fences targets against earlier schedulers. */
export class TargetFencer {
  constructor(private readonly parts: TargetFencerDependencies) {}

  /** Fences every target in parallel. A target that has seen a higher term counts as unreachable. */
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
    this.parts.logger.info('targets-fenced', {term, fenced, unreachable});
    return {reports, unreachable};
  }

  private async fence(
    target: string,
    term: Term,
  ): Promise<TargetReport | undefined> {
    const address = this.parts.findAddress(target);
    if (!address) {
      return undefined;
    }
    const {client, options} = this.parts;
    try {
      return await client.fence(address, {term}, options.callTimeoutMs);
    } catch {
      return undefined;
    }
  }
}
