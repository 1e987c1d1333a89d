import fc from 'fast-check';
import t from 'tap';
import {Failure} from '@galenavalve/shared';
import {
  type PeerCall,
  PeerStateSource,
  RecordCache,
  STATE_OPEN_METHOD,
  type SectionRequest,
  StateServer,
  assignRacks,
  chooseHeartbeatPeers,
  pullRecords,
} from '../src/index.js';
import type {PeerStatus} from '../src/index.js';

function createEntries(from: number, count: number) {
  return Array.from({length: count}, (_, index) => ({
    offset: from + index,
    value: {text: 'x'.repeat(50)},
  }));
}

t.test('a record cache', async t => {
  t.test('serves every cached record once, in order, page by page', async t => {
    const cache = new RecordCache({maxEntries: 20_000, maxBytes: 1e9});
    cache.add(createEntries(5, 10_000), 10_005);
    const call: PeerCall = async (_peer, _method, body) =>
      cache.readPage(body as {from: number});
    const sources = [{instance: 'a', offset: 10_005}];
    const offsets: number[] = [];
    for (let from = 7; from < 10_005;) {
      const page = (await pullRecords(from, sources, call, 1000))!;
      offsets.push(...page.entries.map(entry => entry.offset));
      from = page.nextOffset;
    }
    t.equal(offsets.length, 9_998);
    t.ok(offsets.every((offset, index) => offset === 7 + index));
    t.equal(await pullRecords(10_005, sources, call, 1000), undefined);
  });

  t.test('never serves across a gap, and stays within its limits', async t => {
    const batch = fc.record({skip: fc.nat({max: 3}), count: fc.nat({max: 30})});
    fc.assert(
      fc.property(fc.array(batch), fc.nat(), (batches, requested) => {
        const cache = new RecordCache({maxEntries: 40});
        let nextOffset = 0;
        for (const {skip, count} of batches) {
          nextOffset += skip;
          cache.add(createEntries(nextOffset, count), nextOffset + count);
          nextOffset += count;
        }
        const from = requested % (nextOffset + 1);
        try {
          const {entries} = cache.readPage({from});
          const isContiguous = entries.every(
            (entry, index) => entry.offset === from + index,
          );
          return isContiguous && from + entries.length === nextOffset;
        } catch (error) {
          return (error as Failure).code === 'offset-expired';
        }
      }),
      {seed: 31, numRuns: 1000},
    );
    t.pass();
  });
});

t.test('a state transfer', async t => {
  const sections = ['one', 'two', 'three'];

  function createPeer() {
    let encodingCount = 0;
    const server = new StateServer(async () => {
      encodingCount += 1;
      const snapshotId = `s${encodingCount}`;
      return {snapshotId, nextOffset: 9, sections, hash: 'h'};
    });
    let now = 0;
    const call: PeerCall = async (_instance, method, body) =>
      method === STATE_OPEN_METHOD
        ? server.open(now)
        : server.readSection(body as SectionRequest, now);
    const advance = (duration: number) => (now += duration);
    return {call, advance, countEncodings: () => encodingCount};
  }

  t.test(
    'delivers the whole state, encoded once for concurrent clients',
    async t => {
      const {call, countEncodings} = createPeer();
      const sources = ['a', 'b'].map(
        name => new PeerStateSource(name, call, 1),
      );
      const states = await Promise.all(
        sources.map(source => source.fetchSnapshot()),
      );
      t.match(states, [{sections}, {sections}]);
      t.equal(countEncodings(), 1);
    },
  );

  t.test('fails instead of mixing sections of two states', async t => {
    const {call, advance} = createPeer();
    const slowCall: PeerCall = (...request) => {
      advance(40_000);
      return call(...request);
    };
    const fetched = new PeerStateSource('a', slowCall, 1).fetchSnapshot();
    await t.rejects(fetched, {code: 'not-found'});
  });
});

t.test('an assignment', async t => {
  t.test('of racks changes only for the racks of a lost instance', async t => {
    const racks = Array.from({length: 147}, (_, index) => `r${index}`);
    const before = assignRacks(racks, ['a', 'b', 'c', 'd']);
    const after = assignRacks(racks, ['a', 'b', 'c']);
    for (const rack of racks) {
      const previous = before.get(rack);
      t.ok(previous === 'd' || previous === after.get(rack), rack);
    }
  });

  t.test('of heartbeat peers is bounded across failure domains', async t => {
    const peers = ['north', 'south', 'west'].flatMap(domain =>
      Array.from(
        {length: 20},
        (_, index) =>
          ({
            domain,
            address: {instance: `${domain}${index}`},
          }) as PeerStatus,
      ),
    );
    const self = {instance: 'north0', domain: 'north'};
    const countChosen = (isAlive: (peer: PeerStatus) => boolean) =>
      chooseHeartbeatPeers(self, peers.slice(1), 2, isAlive).length;
    t.equal(
      countChosen(() => true),
      19 + 2 + 2,
    );
    t.equal(
      countChosen(() => false),
      19 + 3 + 3,
      'no peer is alive',
    );
    t.ok(countChosen(peer => peer.address.instance !== 'south3') <= 19 + 3 + 3);
  });
});
