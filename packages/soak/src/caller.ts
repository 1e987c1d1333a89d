/** A caller that keeps its connections open and asks again until it knows. */
import {Agent} from 'undici';
import {
  API_KEY,
  QUEUE_HOST,
  getQueuePath,
} from './standins/platform_records.js';

/** Time limit of one try, in milliseconds. */
const TRY_LIMIT = 3000;

/** Pause between tries, in milliseconds. */
const TRY_PAUSE = 200;

/** Calls the daemons by turns. */
export class Caller {
  private readonly agent = new Agent({keepAliveTimeout: 60_000});
  private next = 0;

  constructor(private readonly fronts: readonly string[]) {}

  /** Hands a job in; false when every try was rejected, so that it must never run. */
  async submit(
    id: string,
    priority: number,
    body: object,
    tries: number,
  ): Promise<'accepted' | 'rejected' | 'unknown'> {
    let isRejected = true;
    for (let index = 0; index < tries; index++) {
      const status = await this.call('POST', id, priority, body);
      if (status?.code === 200) {
        return 'accepted';
      }
      isRejected &&= status?.code === 503 || status?.code === 429;
      await pause(TRY_PAUSE);
    }
    return isRejected ? 'rejected' : 'unknown';
  }

  /** The state of a job; undefined when no instance could say. */
  async getState(id: string, priority: number): Promise<string | undefined> {
    const answer = await this.call('GET', id, priority);
    return answer?.code === 200
      ? (JSON.parse(answer.text) as {state: string}).state
      : answer?.code === 410
        ? 'unknown'
        : undefined;
  }

  close(): void {
    void this.agent.destroy();
  }

  private async call(
    method: 'GET' | 'POST',
    id: string,
    priority: number,
    body?: object,
  ): Promise<{code: number; text: string} | undefined> {
    const front = this.fronts[this.next++ % this.fronts.length]!;
    try {
      const {statusCode, body: answer} = await this.agent.request({
        origin: `http://${front}`,
        path: getQueuePath(priority) + id,
        method,
        headers: {
          host: QUEUE_HOST,
          authorization: `Bearer ${API_KEY}`,
          'deadline-ms': String(TRY_LIMIT),
        },
        body: body && JSON.stringify(body),
        signal: AbortSignal.timeout(TRY_LIMIT),
      });
      return {code: statusCode, text: await answer.text()};
    } catch {
      // No whole answer: the caller asks again with the same id.
      return undefined;
    }
  }
}

function pause(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
