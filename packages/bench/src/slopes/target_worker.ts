/** A thread with one target stand-in behind a relay that counts bytes. */
import {parentPort} from 'node:worker_threads';
import {startTargetServer} from '@galenavalve/standins';
import {TcpRelay} from '@galenavalve/wire';

/** Asks the thread for its byte counts. */
export type TargetWorkerQuestion = 'bytes';

/** What the thread tells: the port at first, then answers. */
export type TargetWorkerAnswer =
  {kind: 'port'; port: number} | {kind: 'bytes'; forth: number; back: number};

/** The target that the thread stands in for. */
export const WORKER_TARGET = {
  id: 'target-0',
  slots: 4096,
  accelerators: 8,
  processors: 65_536,
  memoryMb: 67_108_864,
};

if (parentPort) {
  await serve(parentPort);
}

async function serve(port: NonNullable<typeof parentPort>): Promise<void> {
  const server = await startTargetServer({
    host: '127.0.0.1',
    port: 0,
    targets: [WORKER_TARGET],
  });
  const relay = new TcpRelay(Number(new URL(server.url).port));
  const tell = (answer: TargetWorkerAnswer) => port.postMessage(answer);
  tell({kind: 'port', port: await relay.start()});
  port.on('message', () =>
    tell({kind: 'bytes', forth: relay.bytesForth, back: relay.bytesBack}),
  );
}
