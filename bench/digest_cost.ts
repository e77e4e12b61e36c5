import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Digest } from "../src/process/peer_exchange.ts";

/** What a digest holds in a deployment of some size. */
interface Size {
  readonly workers: number;
  readonly accounts: number;
}

const SIZES: readonly Size[] = [
  { workers: 20, accounts: 5 },
  { workers: 50, accounts: 16 },
  { workers: 100, accounts: 16 },
  { workers: 770, accounts: 60 },
];
const ROUNDS = 500;
const MICROSECONDS = 1_000;
const WINDOWS = 4;

function digestOf({ workers, accounts }: Size): Digest {
  const names = Array.from({ length: accounts }, (_, index) => `account-${index}`);
  const counts = Object.fromEntries(names.map((name, index) => [name, 100_000 + index * 977]));
  const ids = Array.from({ length: workers }, (_, index) => `i-${(index * 2_654_435_761) >>> 0}`);
  return {
    name: "edge-sofia-a-1",
    incarnation: "edge-sofia-a-1/0b86f1f9a82c",
    sequence: 4_711,
    zone: "sofia-a",
    callers: "10.1.0.14:8221",
    peers: "10.1.0.14:8229",
    ready: true,
    reachesStore: true,
    holdsLease: false,
    time: 1_789_549_273_060,
    versions: { config: 307, servers: 412 },
    admitted: counts,
    usage: Array.from({ length: WINDOWS }, (_, index) => ({ window: 357_909_863 + index, counts })),
    use: Object.fromEntries(ids.map((id, index) => [id, [index % 9, index * 331, 12.5, 0.25]])),
    leaving: [],
    known: Array.from({ length: 8 }, (_, index) => `10.1.0.${index}:8229`),
  };
}

/** Prints what one digest costs to make and to read, by the deployment's size. */
function main(): void {
  for (const size of SIZES) {
    const digest = digestOf(size);
    let bytes = Buffer.alloc(0) as Buffer;
    const made = microseconds(() => {
      bytes = deflateRawSync(JSON.stringify(digest), { level: 1 });
    });
    const read = microseconds(() => void JSON.parse(inflateRawSync(bytes).toString("utf8")));
    console.log(JSON.stringify({ ...size, bytes: bytes.length, made, read }));
  }
}

function microseconds(run: () => void): number {
  for (let round = 0; round < ROUNDS; round++) run();
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) run();
  return Math.round(((performance.now() - startedAt) * MICROSECONDS) / ROUNDS);
}

main();
