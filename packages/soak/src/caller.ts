/** A caller that keeps its connections open and retries until it has a definite response. */
import {Agent} from 'undici';
import {
  API_KEY,
  QUEUE_HOST,
  getQueuePath,
} from './standins/platform_records.js';

/** Timeout of one attempt. */
const ATTEMPT_TIMEOUT_MS = 3000;

/** Delay between attempts. */
const RETRY_DELAY_MS = 200;

/** Calls the daemons in round-robin order. */
export class Caller {
  private readonly agent = new Agent({keepAliveTimeout: 60_000});
  private nextIndex = 0;

  constructor(private readonly frontAddresses: readonly string[]) {}

  /**
   * Submits a job.
   * Returns `rejected` if every attempt was rejected, in which case the job must never run, and `unknown` otherwise.
   */
  async submit(
    id: string,
    priority: number,
    body: object,
    maxAttempts: number,
  ): Promise<'accepted' | 'rejected' | 'unknown'> {
    let isRejected = true;
    for (let index = 0; index < maxAttempts; index++) {
      const response = await this.call('POST', id, priority, body);
      if (response?.code === 200) {
        return 'accepted';
      }
      isRejected &&= response?.code === 503 || response?.code === 429;
      await sleep(RETRY_DELAY_MS);
    }
    return isRejected ? 'rejected' : 'unknown';
  }

  /** Returns the state of a job; undefined if the called instance cannot tell it. */
  async getState(id: string, priority: number): Promise<string | undefined> {
    const response = await this.call('GET', id, priority);
    return response?.code === 200
      ? (JSON.parse(response.text) as {state: string}).state
      : response?.code === 410
        ? 'unknown'
        : undefined;
  }

  /** Closes all connections. */
  close(): void {
    void this.agent.destroy();
  }

  /** Sends one request to the next daemon; returns undefined without a complete response. */
  private async call(
    method: 'GET' | 'POST',
    id: string,
    priority: number,
    body?: object,
  ): Promise<{code: number; text: string} | undefined> {
    const frontAddress =
      this.frontAddresses[this.nextIndex++ % this.frontAddresses.length]!;
    try {
      const {statusCode, body: responseBody} = await this.agent.request({
        origin: `http://${frontAddress}`,
        path: getQueuePath(priority) + id,
        method,
        headers: {
          host: QUEUE_HOST,
          authorization: `Bearer ${API_KEY}`,
          'deadline-ms': String(ATTEMPT_TIMEOUT_MS),
        },
        body: body && JSON.stringify(body),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      return {code: statusCode, text: await responseBody.text()};
    } catch {
      // Without a complete response the caller retries with the same id.
      return undefined;
    }
  }
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
