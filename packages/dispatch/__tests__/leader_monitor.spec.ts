import t from 'tap';
import {LEADER_TIMEOUT_MS, LeaderMonitor} from '@galenavalve/dispatch';
import {SeededRandom} from '@galenavalve/shared';

/** Creates the monitor of the best-ranked instance, which has read the log until `now`. */
function createMonitor(now: number): LeaderMonitor {
  const getRank = () => ({rank: 0, isWeak: false});
  const monitor = new LeaderMonitor(0, new SeededRandom(1), getRank);
  monitor.onLeaderRecord(undefined, now);
  monitor.onLogResponse(now);
  return monitor;
}

t.test(
  'a record from before an outage of the log does not delay the next claim (menon-terrain-grown scale-1)',
  t => {
    const monitor = createMonitor(1000);
    monitor.onLeaderRecord(undefined, 7000);
    monitor.onLogResponse(7000);
    const half = LEADER_TIMEOUT_MS / 2;
    t.ok(monitor.computeTimeToClaim(7000) <= half + 60);
    t.ok(monitor.computeTimeToClaim(7000) >= half, 'the leader gets time');
    t.end();
  },
);

t.test('a leader that writes after an outage stays leader', t => {
  const monitor = createMonitor(1000);
  monitor.onLogResponse(7000);
  monitor.onLeaderRecord(undefined, 7300);
  monitor.onLogResponse(7300);
  t.ok(monitor.computeTimeToClaim(7300) >= LEADER_TIMEOUT_MS);
  t.end();
});
