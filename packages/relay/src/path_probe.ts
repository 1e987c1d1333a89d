/** Detects the end of an outage of the log: calls that began in the outage may wait for their timeouts long after it. */
import type {Clock, Milliseconds} from '@galenavalve/shared';
import type {LogPathTracker} from './log_path_tracker.js';

/** Interval at which probes are sent while the direct path to the log fails. */
const PROBE_INTERVAL_MS: Milliseconds = 200;

/** Calls the log service in a way that transfers next to nothing, also over a link that is congested. Rejects if there is no response that shows that the service works. */
export type LogPing = () => Promise<void>;

/** Sends probes while the direct path fails; each is sent whether or not the earlier ones have ended. */
export class PathProbe {
  private isClosed = false;

  constructor(
    private readonly ping: LogPing,
    private readonly pathTracker: LogPathTracker,
    private readonly clock: Clock,
  ) {}

  /** Waits for failures of the direct path and probes it until it responds, until `close` is called. */
  async run(): Promise<void> {
    const never = new AbortController().signal;
    while (!this.isClosed) {
      await this.pathTracker.waitForDirectFailure(never);
      while (!this.pathTracker.isAvailableToPeers && !this.isClosed) {
        await this.clock.sleep(PROBE_INTERVAL_MS);
        void this.probe();
      }
    }
  }

  /** Ends `run` at the next failure or probe. */
  close(): void {
    this.isClosed = true;
  }

  private async probe(): Promise<void> {
    if (this.pathTracker.isAvailableToPeers) {
      return;
    }
    const startedAt = this.clock.now();
    try {
      await this.ping();
      this.pathTracker.onDirectResponse(this.clock.now() - startedAt);
    } catch {
      // The outage goes on; it was logged when it began.
    }
  }
}
