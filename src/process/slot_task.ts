import { MemberState } from "../interface/index.ts";
import type { Clock, Member, ObjectStore, PutOutcome, Random, Timer } from "../interface/index.ts";
import type { RequestService } from "../request/index.ts";
import {
  applyChanges,
  formatSlotMap,
  ownersOf,
  planBackups,
  planSwaps,
  planTakeover,
  promoteBackup,
  rendezvousOrder,
  SLOT_MAP_KEY,
  withBackup,
} from "../version/index.ts";
import type { SlotAssignment, SlotChange, SlotMap } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";
import type { Membership } from "./membership.ts";
import { createSlotFleetView } from "./slot_fleet.ts";

/**
 * Milliseconds between the writes of survivors with consecutive ranks, so that the second finds the
 * first one's write.
 */
const RANK_DELAY = 150;
/**
 * Maximum rank that adds to the delay. Instances with higher ranks act at the same time, apart from
 * jitter.
 */
const MAX_RANK = 8;
/** Milliseconds for which a new fleet gathers members before the first assignment. */
const GATHERING_TIME = 1_000;
/**
 * Average interval between checks of the plan, and maximum jitter before a write, both in
 * milliseconds.
 */
const POLL_INTERVAL = 2_000;
const WRITE_JITTER = 100;
/** Average interval of these checks while this instance waits for its backups in order to leave. */
const LEAVING_POLL_INTERVAL = 100;
/** Maximum number of slots of one primary that move at the same time only to balance the load. */
const MAX_MOVES = 32;
/**
 * Milliseconds for which a claim must stay unanswered before its author takes over slots. A member
 * that considers most owners dead may itself be cut off, and if two sides took slots from each
 * other, neither could serve callers. So the member first writes a claim to the map, and takes over
 * only if no other instance answers it by writing the map.
 */
const CLAIM_TIMEOUT = 3_000;
/**
 * Milliseconds between an answered claim, or another instance's claim, and the next claim of this
 * instance.
 */
const CLAIM_INTERVAL = 8_000;

/** Keeps the assignment of slots up to date with the live members. */
export interface SlotTask {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createSlotTask}. */
export interface SlotTaskParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly configuration: Configuration;
  readonly members: Membership;
  readonly requests: Pick<RequestService, "copyTo" | "isBackupReady">;
  readonly count: (name: string) => void;
}

/** Creates the task. It does nothing until it is started. */
export function createSlotTask(parts: SlotTaskParts): SlotTask {
  const { clock, random, configuration, members } = parts;
  const self = members.self.id;
  const fleet = createSlotFleetView(parts);
  let timer: Timer | undefined;
  let dueAt = Number.POSITIVE_INFINITY;
  let isBusy = false;
  let isWokenWhileBusy = false;
  let closed = false;
  let startedAt = 0;
  let map = configuration.slotMap();
  let mapChangedAt = 0;
  let claimedAt: number | undefined;

  const wakeIn = (delay: number): void => {
    if (closed || clock.now() + delay >= dueAt) return;
    timer?.close();
    dueAt = clock.now() + delay;
    timer = clock.after(delay, () => {
      dueAt = Number.POSITIVE_INFINITY;
      void step();
    });
  };
  const refreshMap = (): void => {
    if (configuration.slotMap().version === map.version) return;
    map = configuration.slotMap();
    mapChangedAt = clock.now();
  };
  const step = async (): Promise<void> => {
    if (closed) return;
    if (isBusy) {
      isWokenWhileBusy = true;
      return;
    }
    isBusy = true;
    isWokenWhileBusy = false;
    refreshMap();
    try {
      const hasActed = (await takeOver()) || (await maintainOwnSlots()) || isWokenWhileBusy;
      const pollInterval = isWaitingForBackups() ? LEAVING_POLL_INTERVAL : POLL_INTERVAL;
      wakeIn(hasActed ? WRITE_JITTER * random.next() : pollInterval * (0.75 + 0.5 * random.next()));
    } finally {
      isBusy = false;
    }
  };
  const isLeaving = (): boolean => members.stateOf(self) === MemberState.Leaving;
  /** Whether this instance is leaving and its backups can't all be promoted yet. */
  const isWaitingForBackups = (): boolean =>
    isLeaving() && map.slots.some(({ primary }) => primary === self);
  const takeOver = async (): Promise<boolean> => {
    const { claim: claimant } = map;
    if (claimant !== undefined && claimant !== self && mustAnswerClaim(claimant))
      return answerClaim();
    if (planned().length === 0 || clock.now() - startedAt < GATHERING_TIME) return false;
    if (map.version > 0 && !hasMajorityContact() && !isClaimed()) return claim();
    // Members of lower rank write first. Later ones read the written map, which leaves nothing to
    // change.
    await waitForRank(rankOf(self, { map, members: members.alive() }));
    await configuration.refresh();
    refreshMap();
    const changes = planned();
    if (closed || changes.length === 0) return false;
    const outcome = await write(changes);
    if (outcome === "written") parts.count("slots.takeover");
    return outcome !== "unavailable";
  };
  const planned = (): readonly SlotChange[] => planTakeover(map, fleet(), clock.date().getTime());
  const waitForRank = (rank: number): Promise<void> =>
    new Promise((resolve) => {
      const delay = RANK_DELAY * Math.min(rank, MAX_RANK) + WRITE_JITTER * random.next();
      clock.after(rank === 0 ? 0 : delay, resolve);
    });
  /**
   * Whether most owners are live, and a recent message from a peer confirms that this instance is
   * not cut off.
   */
  const hasMajorityContact = (): boolean => {
    const lastMessageAt = members.lastMessageAt();
    const hasContact = lastMessageAt !== undefined && clock.now() - lastMessageAt < CLAIM_TIMEOUT;
    return hasContact && isMajorityOfOwnersLive(map, members);
  };
  /**
   * Whether this member must answer a claim because the claimant may wrongly consider owners dead.
   * This is the case if this member is in contact with most owners, or is itself an owner and may
   * be one of those. An owner does not answer if it has contact with the claimant and plans a
   * takeover too: if the survivors of less than half a fleet answered each other's claims, the dead
   * instances' slots would never be reassigned.
   */
  const mustAnswerClaim = (claimant: string): boolean => {
    if (hasMajorityContact()) return true;
    const supportsClaim = members.stateOf(claimant) === MemberState.Alive && planned().length > 0;
    return ownersOf(map).has(self) && !supportsClaim;
  };
  const isClaimed = (): boolean =>
    map.claim === self && clock.now() - mapChangedAt >= CLAIM_TIMEOUT;
  const claim = async (): Promise<boolean> => {
    if (map.claim === self) return false;
    const pause =
      map.claim === undefined && claimedAt === undefined ? CLAIM_TIMEOUT : CLAIM_INTERVAL;
    const since = Math.max(startedAt, mapChangedAt, claimedAt ?? 0);
    if (clock.now() - since < pause) return false;
    claimedAt = clock.now();
    parts.count("slots.claim");
    return (await writeMap(map.slots, self)) === "written";
  };
  const answerClaim = async (): Promise<boolean> => {
    await waitForRank(rankOf(self, { map, members: members.alive() }));
    await configuration.refresh();
    refreshMap();
    if (closed || map.claim === undefined) return false;
    return (await writeMap(map.slots)) === "written";
  };
  const maintainOwnSlots = async (): Promise<boolean> => {
    // A leaving primary replaces missing backups only. A moved one would delay the end of its ownership.
    const maxMoves = isLeaving() ? 0 : MAX_MOVES;
    const options = { self, fleet: fleet(), maxMoves };
    const changes = [...(await copyRecords(planBackups(map, options)))];
    if (closed) return false;
    const moving = new Set(changes.map(({ slot }) => slot));
    const { isBackupReady } = parts.requests;
    const swaps = planSwaps(map, { ...options, isBackupReady });
    changes.push(...swaps.filter(({ slot }) => !moving.has(slot)));
    return changes.length > 0 && (await write(changes)) !== "unavailable";
  };
  /**
   * Copies the records and returns the resulting assignments. A backup is assigned only once it has
   * the records.
   */
  const copyRecords = async (
    plan: ReadonlyMap<string, readonly number[]>,
  ): Promise<readonly SlotChange[]> => {
    const baseMap = map;
    const { present } = fleet();
    const copies = [...plan].map(async ([backup, slots]) => {
      const member = members.find(backup);
      const hasRecords = member !== undefined && (await copy(slots, member));
      if (hasRecords) return mapSlots(baseMap, slots, (before) => withBackup(before, backup));
      // A leaving primary that has ceded its slots copies no more. Its backup already serves them
      // and is promoted.
      if (!isLeaving()) return [];
      const ready = slots.filter((slot) => {
        const epoch = baseMap.slots[slot]?.epoch ?? 0;
        return parts.requests.isBackupReady(slot, epoch);
      });
      return mapSlots(baseMap, ready, (before) => promoteBackup(before, present));
    });
    return (await Promise.all(copies)).flat();
  };
  const copy = async (slots: readonly number[], member: Member): Promise<boolean> => {
    try {
      return await parts.requests.copyTo(slots, member);
    } catch {
      parts.count("slots.copy-failed");
      return false;
    }
  };
  const write = async (changes: readonly SlotChange[]): Promise<PutOutcome["kind"]> => {
    refreshMap();
    const slots = applyChanges(map, changes);
    return slots === undefined ? "conflict" : writeMap(slots);
  };
  const writeMap = async (
    slots: SlotMap["slots"],
    claimant?: string,
  ): Promise<PutOutcome["kind"]> => {
    const value = formatSlotMap(slots, claimant);
    const expect = map.version;
    const outcome = await configuration.throttle.run(() =>
      parts.store.put(SLOT_MAP_KEY, value, { expect }),
    );
    parts.count(`slots.write.${outcome.kind}`);
    await applyOutcome(outcome, value);
    return outcome.kind;
  };
  const applyOutcome = async (outcome: PutOutcome, value: string): Promise<void> => {
    if (outcome.kind === "written") {
      configuration.receive(SLOT_MAP_KEY, { version: outcome.version, value });
    } else if (outcome.kind === "conflict") {
      if (outcome.current !== undefined) configuration.receive(SLOT_MAP_KEY, outcome.current);
    } else if (outcome.kind === "unknown") {
      // The write may have succeeded although its response was lost. The map is read again before
      // planning, so a change already made is not planned twice.
      await configuration.refresh();
    }
    refreshMap();
  };
  const onChange = (): void => {
    refreshMap();
    wakeIn(WRITE_JITTER * random.next());
  };
  const subscriptions = [members.onChange(onChange), configuration.onChange(onChange)];
  return {
    start: () => {
      startedAt = clock.now();
      mapChangedAt = startedAt;
      clock.after(GATHERING_TIME, () => wakeIn(0));
    },
    close: () => {
      closed = true;
      timer?.close();
      for (const subscription of subscriptions) subscription.close();
    },
  };
}

function rankOf(self: string, view: { map: SlotMap; members: readonly Member[] }): number {
  const key = `${SLOT_MAP_KEY}/${view.map.version}`;
  const order = rendezvousOrder(
    key,
    view.members.map(({ id }) => id),
  );
  return Math.max(0, order.indexOf(self));
}

function isMajorityOfOwnersLive(map: SlotMap, members: Membership): boolean {
  const owners = ownersOf(map);
  const liveCount = [...owners].filter((id) => members.stateOf(id) !== MemberState.Dead).length;
  return 2 * liveCount > owners.size;
}

function mapSlots(
  map: SlotMap,
  slots: readonly number[],
  change: (before: SlotAssignment) => SlotAssignment | undefined,
): readonly SlotChange[] {
  return slots.flatMap((slot) => {
    const before = map.slots[slot];
    const assignment = before === undefined ? undefined : change(before);
    return assignment === undefined ? [] : [{ slot, assignment }];
  });
}
