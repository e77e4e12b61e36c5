import type { Member, Random } from "../interface/index.ts";

/** What is known where a caller asks which address to use. */
export interface ResolveView {
  /** Entry instances that are alive and not leaving. */
  readonly alive: readonly Member[];
  /** The owner of the caller's key, if it gave one. */
  readonly owner: Member | undefined;
  /** The caller's availability zone where it says so. */
  readonly zone?: string;
  /** Requests in progress by member id, as last heard. */
  readonly load: ReadonlyMap<string, number>;
  readonly account: string;
}

/** What a caller is told. */
export interface ResolveAnswer {
  /** `IP:PORT`, best first. */
  readonly addresses: readonly string[];
  /** Seconds for which the caller may keep the answer. */
  readonly keepFor: number;
  /** The owner's address where a key was given. */
  readonly owner?: string;
}

const KEEP_FOR = 10;

/** Chooses the addresses that a caller is told, and for how long. */
export function resolve(view: ResolveView, random: Random): ResolveAnswer {
  const first = Math.floor(random.next() * view.alive.length);
  const turned = [...view.alive.slice(first), ...view.alive.slice(0, first)];
  const addresses = turned.map((member) => member.callerAddress);
  const { owner } = view;
  return owner === undefined
    ? { addresses, keepFor: KEEP_FOR }
    : { addresses, keepFor: KEEP_FOR, owner: owner.callerAddress };
}
