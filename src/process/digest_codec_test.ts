import fc from "fast-check";
import { expect, test } from "vitest";
import { PartOutcome, RolloutPhase } from "../decision/index.ts";
import { admissionKey } from "./admission_period.ts";
import { decodeDigest, encodeDigest } from "./digest_codec.ts";
import { partName } from "../request/index.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate } from "./digest.ts";

const COUNT = fc.integer({ min: 1, max: 2 ** 31 });
const NAME = fc.string({ minLength: 1, maxLength: 20 });
const SESSION = fc.integer({ min: 1, max: 2 ** 32 - 1 });

const UPDATE: fc.Arbitrary<InstanceUpdate> = fc.record({
  isSnapshot: fc.boolean(),
  uptime: fc.nat(3_600_000),
  time: fc.nat({ max: 2 ** 50 }),
  admitted: fc
    .array(
      fc.tuple(fc.record({ period: fc.integer({ min: 880, max: 888 }), account: NAME }), COUNT),
    )
    .map((entries) => new Map(entries.map(([key, count]) => [admissionKey(key), count]))),
  // Windows are consecutive and in ascending order.
  usage: fc
    .array(fc.dictionary(NAME, COUNT, { minKeys: 1, noNullPrototype: true }), { maxLength: 4 })
    .map((windows) => windows.map((counts, index) => ({ window: 1_000 + index, counts }))),
  workerCounts: fc
    .array(
      fc.tuple(
        SESSION,
        fc.record({
          running: fc.nat(1_000),
          unreadTokens: fc.nat(10_000).map((units) => units * 64),
          runs: fc.nat(),
          failures: fc.nat(),
        }),
      ),
    )
    .map((entries) => new Map(entries)),
  leavingWorkers: fc.array(NAME),
});

const INTRODUCTION = fc.record({
  name: NAME,
  zone: NAME,
  callers: NAME,
  peers: NAME,
  capacity: fc.nat(),
});
const ROSTER = fc.record({
  isSnapshot: fc.boolean(),
  live: fc.array(
    fc
      .tuple(
        INTRODUCTION,
        fc.record({ session: SESSION, ready: fc.boolean(), reachesStore: fc.boolean() }),
      )
      .map(([introduction, state]) => ({ ...introduction, ...state })),
  ),
  removedSessions: fc.array(SESSION),
});
const CHANGE = fc
  .tuple(NAME, fc.nat(), fc.option(fc.record({ zone: NAME, slots: fc.nat() }), { nil: undefined }))
  .map(([name, version, value]) => ({
    object: { name, version, value },
    removed: value === undefined,
  }));
const FEED_DELTA = fc.record({
  kind: NAME,
  from: fc.nat(),
  to: fc.nat(),
  changes: fc.array(CHANGE),
  age: fc.nat(),
});

const LIMIT_REPORTS = fc.array(
  fc.record({
    worker: fc.nat(),
    perSecond: fc.option(fc.double({ min: 0, max: 1e6, noNaN: true }), { nil: undefined }),
    at: fc.nat(),
  }),
);
const DIGEST: fc.Arbitrary<Digest> = fc.record({
  session: SESSION,
  sequence: fc.nat(),
  ready: fc.boolean(),
  reachesStore: fc.boolean(),
  leaseVersion: fc.nat(),
  acknowledged: fc.option(fc.record({ session: SESSION, sequence: fc.nat() }), { nil: undefined }),
  isCurrent: fc.boolean(),
  limits: LIMIT_REPORTS,
  tries: LIMIT_REPORTS,
  partReports: fc.array(
    fc.record({
      part: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }).map(partName),
      outcome: fc.constantFrom(...Object.values(PartOutcome)),
      at: fc.nat(),
    }),
  ),
  plans: fc.array(
    fc.record({
      service: NAME,
      to: NAME,
      fence: fc.nat(),
      phase: fc.constantFrom(RolloutPhase.Trial, RolloutPhase.Switch),
      age: fc.nat(),
      startedAt: fc.nat(),
    }),
  ),
  versions: fc.array(fc.tuple(NAME, fc.nat())).map((entries) => new Map(entries)),
  storeAnsweredAt: fc.nat(),
  introduction: fc.option(INTRODUCTION, { nil: undefined }),
  scope: fc.constantFrom(...Object.values(UpdateScope)),
  update: fc.option(UPDATE, { nil: undefined }),
  wantsUpdate: fc.boolean(),
  includesReceiver: fc.boolean(),
  roster: fc.option(ROSTER, { nil: undefined }),
  feedDeltas: fc.array(FEED_DELTA),
  knownAddresses: fc.array(NAME),
});

test("a decoded digest equals the encoded one", () => {
  fc.assert(
    fc.property(DIGEST, (digest) => {
      const read = decodeDigest(encodeDigest(digest));
      const byWindow = (a: { window: number }, b: { window: number }): number =>
        a.window - b.window;
      expect(read?.update?.usage.toSorted(byWindow)).toEqual(digest.update?.usage);
      expect({ ...read, update: { ...read?.update, usage: [] } }).toEqual({
        ...digest,
        update: { ...digest.update, usage: [] },
      });
    }),
  );
});

// Datagrams can come from any source. An invalid or damaged one must not terminate the instance.
test("arbitrary bytes decode to a valid digest or to undefined", () => {
  const noise = fc.uint8Array({ maxLength: 300 });
  const spoiled = fc
    .tuple(DIGEST, fc.nat(), fc.nat(255), fc.nat())
    .map(([digest, at, byte, length]) => {
      const bytes = encodeDigest(digest);
      bytes[at % bytes.length] = byte;
      return bytes.subarray(0, length % (bytes.length + 1));
    });
  fc.assert(
    fc.property(fc.oneof(noise, spoiled), (bytes) => {
      const read = decodeDigest(bytes);
      if (read === undefined) return;
      expect(read.session).toBeGreaterThan(0);
      for (const { running } of read.update?.workerCounts.values() ?? []) {
        expect(Number.isInteger(running)).toBe(true);
      }
    }),
  );
});

// Any client can write an entry without a value to the store. If encoding failed on it, the
// instance would terminate, and so would its successor as the store's watcher.
test("an object without a value is encoded as null", () => {
  const [digest] = fc.sample(DIGEST, { numRuns: 1, seed: 1 });
  if (digest === undefined) throw new Error("fast-check returned no sample.");
  const change = { object: { name: "w", version: 3, value: undefined }, removed: false };
  const feedDeltas = [{ kind: "servers", from: 2, to: 3, changes: [change], age: 0 }];
  const read = decodeDigest(encodeDigest({ ...digest, feedDeltas }));
  expect(read?.feedDeltas[0]?.changes).toEqual([
    { object: { name: "w", version: 3, value: null }, removed: false },
  ]);
});

// Guards against a number that a caller or another program states and that ends the process, because no field of a digest
// can express it.
test("a digest with any numbers can be encoded", () => {
  const number = fc.double();
  const counts = fc.record({
    running: number,
    unreadTokens: number,
    runs: fc.nat(),
    failures: fc.nat(),
  });
  const plan = fc.record({
    service: NAME,
    to: NAME,
    fence: number,
    phase: fc.constant(RolloutPhase.Trial),
    age: number,
    startedAt: number,
  });
  fc.assert(
    fc.property(DIGEST, UPDATE, counts, plan, number, (digest, update, load, odd, at) => {
      const workerCounts = new Map([[1, load]]);
      const admitted = new Map([[admissionKey({ period: 880, account: "club" }), at]]);
      const encoded = encodeDigest({
        ...digest,
        plans: [odd],
        limits: [{ worker: 1, perSecond: undefined, at }],
        update: { ...update, uptime: at, workerCounts, admitted },
      });
      const unread = Math.max(0, load.unreadTokens || 0);
      const read = decodeDigest(encoded)?.update?.workerCounts.get(1);
      expect(read?.unreadTokens).toBe(Math.min(2 ** 38 - 64, Math.ceil(unread / 64) * 64));
    }),
  );
});
