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

t.test('a record relay', async t => {
  t.test('serves every kept record once, in order, page by page', async t => {
    const relay = new RecordCache({maxEntries: 20_000, maxBytes: 1e9});
    relay.add(createEntries(5, 10_000), 10_005);
    const call: PeerCall = async (_peer, _method, body) =>
      relay.readPage(body as {from: number});
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

  t.test('never serves across a gap, and stays within its size', async t => {
    const batch = fc.record({skip: fc.nat({max: 3}), count: fc.nat({max: 30})});
    fc.assert(
      fc.property(fc.array(batch), fc.nat(), (batches, wanted) => {
        const relay = new RecordCache({maxEntries: 40});
        let next = 0;
        for (const {skip, count} of batches) {
          next += skip;
          relay.add(createEntries(next, count), next + count);
          next += count;
        }
        const from = wanted % (next + 1);
        try {
          const {entries} = relay.readPage({from});
          const isDense = entries.every(
            (entry, index) => entry.offset === from + index,
          );
          return isDense && from + entries.length === next;
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
    let encoded = 0;
    const server = new StateServer(async () => {
      encoded += 1;
      const snapshotId = `s${encoded}`;
      return {snapshotId, nextOffset: 9, sections, hash: 'h'};
    });
    let now = 0;
    const call: PeerCall = async (_instance, method, body) =>
      method === STATE_OPEN_METHOD
        ? server.open(now)
        : server.readSection(body as SectionRequest, now);
    const advance = (duration: number) => (now += duration);
    return {call, advance, encodings: () => encoded};
  }

  t.test('brings the state whole, encoded once for all who ask', async t => {
    const {call, encodings} = createPeer();
    const sources = ['a', 'b'].map(name => new PeerStateSource(name, call, 1));
    const states = await Promise.all(
      sources.map(source => source.fetchSnapshot()),
    );
    t.match(states, [{sections}, {sections}]);
    t.equal(encodings(), 1);
  });

  t.test('fails rather than mix two states', async t => {
    const {call, advance} = createPeer();
    const slowCall: PeerCall = (...question) => {
      advance(40_000);
      return call(...question);
    };
    const fetched = new PeerStateSource('a', slowCall, 1).fetchSnapshot();
    await t.rejects(fetched, {code: 'not-found'});
  });
});

t.test('shares', async t => {
  t.test('of a lost instance alone move to others', async t => {
    const racks = Array.from({length: 147}, (_, index) => `r${index}`);
    const before = assignRacks(racks, ['a', 'b', 'c', 'd']);
    const after = assignRacks(racks, ['a', 'b', 'c']);
    for (const rack of racks) {
      const kept = before.get(rack);
      t.ok(kept === 'd' || kept === after.get(rack), rack);
    }
  });

  t.test('of links stay bounded across failure domains', async t => {
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
    const choose = (isAlive: (peer: PeerStatus) => boolean) =>
      chooseHeartbeatPeers(self, peers.slice(1), 2, isAlive).length;
    t.equal(
      choose(() => true),
      19 + 2 + 2,
    );
    t.equal(
      choose(() => false),
      19 + 3 + 3,
      'no link works',
    );
    t.ok(choose(peer => peer.address.instance !== 'south3') <= 19 + 3 + 3);
  });
});
