import { sleep } from "../interface/index.ts";
import type { Clock, ObjectStore, PutOutcome, Random } from "../interface/index.ts";
import {
  formatLease,
  canAcquire,
  canRewrite,
  canStartCall,
  eraOf,
  LEASE_TERM,
  leaseKey,
  leaseTimeLeft,
  parseLease,
  releaseDelay,
  rendezvousOrder,
  storeVersion,
} from "../version/index.ts";
import type { HeldLease, Lease, ClockReading } from "../version/index.ts";
import { createEraSince } from "./era_since.ts";
import type { StoreThrottle } from "./store_throttle.ts";

/** Number of renewals per lease term. */
const RENEWALS_PER_TERM = 3;
/** Milliseconds between two checks by the preferred instance whether it can acquire the lease. */
const POLL_INTERVAL = 2_000;
/**
 * Milliseconds for which a holder keeps the lease after another instance has become the preferred
 * one. This avoids frequent handovers while membership changes.
 */
const HANDOVER_DELAY = 20_000;
/** Stands for the holder of a lease that can't be read. No instance has this id. */
const UNKNOWN_HOLDER = "(unreadable)";

/** Manages the leases that this instance holds, at most one per service. */
export interface LeaseTask {
  /** Returns the services whose lease this instance holds now. */
  held(): readonly string[];
  /**
   * Returns the fencing token for an order, and reserves the lease until the order has timed out.
   *
   * @param service The service that the order is for.
   * @param orderTime Timeout of the order in milliseconds.
   * @returns Undefined if this instance must not send the order: it doesn't hold the lease, or the
   * lease would expire before the order times out.
   */
  fence(service: string, orderTime: number): number | undefined;
  /**
   * Returns the store version of the last write to a lease that this instance holds; 0 if it
   * doesn't hold the lease.
   */
  versionOf(service: string): number;
  /**
   * Records the lease version that another instance reports as holder; 0 if it reports that it
   * doesn't hold the lease.
   *
   * The version was written before the report arrived, so a term counted from its arrival ends no
   * earlier than the holder's own. Without the report, a successor would start counting only when
   * it first reads the lease after the holder's failure, which leaves up to two terms without a
   * holder.
   */
  observe(service: string, version: number): void;
  start(): void;
  /** Returns all leases, so that other instances don't have to wait for them to expire. */
  release(): Promise<void>;
  close(): void;
}

/** Dependencies and settings of {@linkcode createLeaseTask}. */
export interface LeaseTaskParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Pick<ObjectStore, "get" | "put">;
  readonly throttle: StoreThrottle;
  /** Names of the leases: services, or duties of the whole deployment. */
  readonly leaseNames: () => readonly string[];
  readonly members: {
    readonly self: { readonly id: string };
    /** Instances that can hold a lease. */
    alive(): readonly { readonly id: string }[];
  };
  /** Maximum timeout of an order in milliseconds. */
  readonly maxOrderTime: number;
  /** Milliseconds for which a lease is valid after each write. */
  readonly term?: number;
  /** Milliseconds between two checks by the preferred instance whether it can acquire the lease. */
  readonly pollInterval?: number;
  /**
   * Whether a live instance reports that it holds the lease, so that there is no need to read it.
   */
  readonly isHeldElsewhere?: (leaseName: string) => boolean;
  /**
   * Whether this instance has the data that the duties require. If not, it returns the lease at
   * once.
   */
  readonly canHold?: () => boolean;
  /** Returns the number of the store's restores as of its latest response. By default 0. */
  readonly storeEra?: () => number;
  readonly count: (name: string) => void;
}

interface SeenVersion {
  /** Store version of the lease. */
  readonly version: number;
  /** When this version was first read or reported, in milliseconds of `clock`. */
  readonly firstSeenAt: number;
}

interface FoundLease {
  readonly lease: Lease;
  /** When its version was first read or reported, in milliseconds of `clock`. */
  readonly firstSeenAt: number;
}

/**
 * Creates the task. Each lease belongs to the first live member in rendezvous order, which spreads
 * the leases over the instances. No instance relies on another's clock: a holder counts its term
 * from before its write was sent, a successor from when it first saw the written version, which is
 * later.
 */
export function createLeaseTask(parts: LeaseTaskParts): LeaseTask {
  const { clock, random, store, throttle, leaseNames, members, count } = parts;
  const { term = LEASE_TERM, pollInterval = POLL_INTERVAL, isHeldElsewhere = () => false } = parts;
  const { canHold = () => true, storeEra = () => 0 } = parts;
  const eraSince = createEraSince({ clock, era: storeEra });
  const self = members.self.id;
  const held = new Map<string, HeldLease>();
  const seenVersions = new Map<string, SeenVersion>();
  const notPreferredSince = new Map<string, number>();
  let writes = 0;
  let closed = false;
  const isClosed = (): boolean => closed;

  const isPreferredHolder = (service: string): boolean => {
    const candidates = members.alive().map(({ id }) => id);
    return rendezvousOrder(leaseKey(service), candidates)[0] === self;
  };
  const dayOffset = (): number => clock.date().getTime() - clock.now();
  const readClock = (): ClockReading => ({ now: clock.now(), dayOffset: dayOffset() });
  const isHeld = (service: string): boolean => {
    const lease = held.get(service);
    return lease !== undefined && leaseTimeLeft(lease, readClock()) > 0;
  };
  const write = async (
    service: string,
    lease: { holder: string; expect: number },
  ): Promise<PutOutcome> => {
    const { holder, expect } = lease;
    const value = formatLease({ holder, term, renewal: ++writes, era: storeEra() });
    return throttle.run(() => store.put(leaseKey(service), value, { expect }));
  };
  /**
   * Reads a lease and records its version. This also finds an own lease whose write was answered
   * late or never.
   */
  const readLease = async (service: string): Promise<FoundLease | undefined | "unavailable"> => {
    const read = await throttle.run(() => store.get(leaseKey(service)));
    if (read.kind === "unavailable") return "unavailable";
    if (read.kind === "absent") return undefined;
    const { version, value } = read.object;
    const before = seenVersions.get(service);
    const parsed = parseLease(version, value);
    if (parsed === undefined && before?.version !== version) count("lease.unreadable");
    // An instance that writes leases in a form that this one can't read may hold it for a term. Without this, no
    // instance could take the lease again.
    const lease = parsed ?? { version, holder: UNKNOWN_HOLDER, term, renewal: 0, era: storeEra() };
    const firstSeenAt = before?.version === version ? before.firstSeenAt : clock.now();
    seenVersions.set(service, { version, firstSeenAt });
    return { lease, firstSeenAt };
  };
  const acquire = async (service: string): Promise<void> => {
    const found = await readLease(service);
    if (found === "unavailable") return;
    const era = storeEra();
    const isFree = found === undefined || found.lease.holder === "";
    const isOfEra = found?.lease.era === era;
    const observed = {
      isFree,
      isOfEra,
      since: found?.firstSeenAt ?? clock.now(),
      eraSince: eraSince(),
      term: found?.lease.term ?? term,
    };
    if (!canAcquire(observed, clock.now())) return;
    const sentAt = clock.now();
    const offsetAtSend = dayOffset();
    const outcome = await write(service, { holder: self, expect: found?.lease.version ?? 0 });
    // If the response was lost, the lease is not held. The written version is seen at the next
    // read, waited out like another instance's, and then acquired again. It's the same if the store
    // was restored before it applied the write, as it may have lost another instance's lease.
    if (outcome.kind !== "written" || eraOf(outcome.version) !== era) return;
    // A holder that returned its lease had no order in progress. One that did not, or whose lease
    // was lost in a restore, may have sent its last order at the very end of its term.
    const lostOrdersUntil = isOfEra
      ? -Infinity
      : observed.eraSince + observed.term + parts.maxOrderTime;
    const ordersFrom = isFree
      ? Math.max(clock.now(), lostOrdersUntil)
      : clock.now() + parts.maxOrderTime;
    const { version } = outcome;
    held.set(service, {
      version,
      fence: version,
      dayOffset: offsetAtSend,
      until: sentAt + term,
      ordersFrom,
      ordersUntil: undefined,
      takenOverAt: found === undefined || found.lease.holder === self ? undefined : sentAt,
    });
    count("lease.taken");
  };
  const renew = async (service: string, lease: HeldLease): Promise<void> => {
    const renewed = { ...lease, until: clock.now() + term, dayOffset: dayOffset() };
    const outcome = await write(service, { holder: self, expect: lease.version });
    if (outcome.kind === "written") {
      recordRenewal(service, { ...renewed, version: outcome.version });
    } else if (outcome.kind === "conflict") {
      await rewriteOrDrop(service, lease);
    } else if (outcome.kind === "unknown") {
      await confirmRenewal(service, renewed);
    }
  };
  /**
   * Handles a renewal whose response was lost. If the store has a later version with this instance
   * as the holder, the renewal succeeded: no other instance writes this id, and this instance
   * writes one renewal at a time.
   */
  const confirmRenewal = async (service: string, renewal: HeldLease): Promise<void> => {
    const found = await readLease(service);
    if (found === "unavailable" || found === undefined) return;
    const { holder, version } = found.lease;
    // A version of a later era comes from a restored copy. The next renewal writes the lease again.
    if (eraOf(version) > eraOf(renewal.version)) return;
    if (holder !== self) held.delete(service);
    else if (version > renewal.version) recordRenewal(service, { ...renewal, version });
  };
  const drop = (service: string): void => {
    held.delete(service);
    count("lease.lost");
  };
  /**
   * Handles a refused renewal: writes the lease again if the store has lost it in a restore.
   * Otherwise another instance has acquired it.
   */
  const rewriteOrDrop = async (service: string, lease: HeldLease): Promise<void> => {
    const found = await readLease(service);
    if (found === "unavailable") return;
    const stored = found?.lease.version ?? storeVersion({ era: storeEra(), revision: 0 });
    const moment = readClock();
    if (!canRewrite(lease, { stored, moment })) {
      drop(service);
      return;
    }
    const { now, dayOffset: offsetAtSend } = moment;
    const expect = found?.lease.version ?? 0;
    const outcome = await write(service, { holder: self, expect });
    if (outcome.kind === "conflict") drop(service);
    if (outcome.kind !== "written") return;
    const { version } = outcome;
    recordRenewal(service, { ...lease, version, until: now + term, dayOffset: offsetAtSend });
    count("lease.rewritten");
  };
  /** Records a renewal, unless the lease was dropped while the response was pending. */
  const recordRenewal = (service: string, renewed: HeldLease): void => {
    const before = held.get(service);
    if (before === undefined) return;
    held.set(service, { ...renewed, ordersUntil: before.ordersUntil });
  };
  /** Returns a lease once no order is in progress, unless it must be left to expire. */
  const returnLease = async (service: string): Promise<void> => {
    const lease = held.get(service);
    // No order is sent after this.
    held.delete(service);
    const wait = lease === undefined ? undefined : releaseDelay(lease, clock.now(), { term });
    if (lease === undefined || wait === undefined) return;
    if (wait > 0) await sleep(clock, wait);
    await write(service, { holder: "", expect: lease.version });
  };
  const maintain = async (service: string): Promise<void> => {
    const lease = held.get(service);
    const isPreferred = isPreferredHolder(service);
    if (lease === undefined || !isHeld(service)) {
      held.delete(service);
      if (isPreferred && !isHeldElsewhere(service)) await acquire(service);
      return;
    }
    if (isPreferred) notPreferredSince.delete(service);
    else if (!notPreferredSince.has(service)) notPreferredSince.set(service, clock.now());
    const notPreferredFor = clock.now() - (notPreferredSince.get(service) ?? clock.now());
    if (!canHold() || notPreferredFor > HANDOVER_DELAY) await returnLease(service);
    else await renew(service, lease);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      // Also while another instance holds the leases: only a restore since the last check delays their
      // acquisition.
      eraSince();
      await Promise.all(leaseNames().map((leaseName) => maintain(leaseName)));
      const period = held.size > 0 ? term / RENEWALS_PER_TERM : pollInterval;
      await sleep(clock, period * (0.8 + 0.2 * random.next()));
    }
  };
  return {
    held: () => leaseNames().filter(isHeld),
    fence: (service, orderTime) => {
      const lease = held.get(service);
      if (lease === undefined || !canStartCall(lease, readClock(), { orderTime })) return undefined;
      const ordersUntil = Math.max(lease.ordersUntil ?? 0, clock.now() + orderTime);
      held.set(service, { ...lease, ordersUntil });
      return lease.fence;
    },
    versionOf: (service) => (isHeld(service) ? (held.get(service)?.version ?? 0) : 0),
    observe: (service, version) => {
      if (version <= (seenVersions.get(service)?.version ?? 0)) return;
      seenVersions.set(service, { version, firstSeenAt: clock.now() });
    },
    start: () => void run(),
    release: async () => {
      closed = true;
      await Promise.all([...held.keys()].map(returnLease));
    },
    close: () => {
      closed = true;
      held.clear();
    },
  };
}
