/**
 * Selects the instances that hold copies of an instance's records.
 *
 * Load: instances end, one, a zone or most of them at once, and callers continue at any other. An
 * instance has few holders, so that the cost doesn't grow with the fleet, and each has others, so
 * that the copies are spread. Symptom without different zones: the loss of a zone takes all copies.
 *
 * @module
 */
import { rendezvousOrder } from "../version/index.ts";

/** An instance that can hold copies. */
export interface HolderCandidate {
  /** Address `IP:PORT` for other instances; it identifies the instance. */
  readonly peers: string;
  readonly zone: string;
}

/** Key by which the instance is selected that writes records to the store. */
const WRITER_KEY = "samphireshore/stream-records";

/**
 * Selects the instance that writes the records of the given instances to the store, by rendezvous hashing. Instances
 * whose views differ for a moment may select two; their writes don't conflict.
 */
export function selectRecordWriter<Candidate extends Pick<HolderCandidate, "peers">>(
  candidates: readonly Candidate[],
): Candidate | undefined {
  const [first] = rendezvousOrder(
    WRITER_KEY,
    candidates.map(({ peers }) => peers),
  );
  return candidates.find(({ peers }) => peers === first);
}

/**
 * Selects holders by rendezvous hashing, so that few change when an instance joins or leaves. As
 * many zones as possible other than the instance's own are used before any zone is used again.
 */
export function selectHolders<Candidate extends HolderCandidate>(
  self: HolderCandidate,
  { others, count }: { others: readonly Candidate[]; count: number },
): Candidate[] {
  const byAddress = new Map(others.map((one) => [one.peers, one]));
  const ordered = rendezvousOrder(self.peers, [...byAddress.keys()]).flatMap(
    (address) => byAddress.get(address) ?? [],
  );
  const selected = new Set<Candidate>();
  const zones = new Set([self.zone]);
  for (const candidate of ordered) {
    if (selected.size === count) break;
    if (zones.has(candidate.zone)) continue;
    zones.add(candidate.zone);
    selected.add(candidate);
  }
  for (const candidate of ordered) if (selected.size < count) selected.add(candidate);
  return [...selected];
}
