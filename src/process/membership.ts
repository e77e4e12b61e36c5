import { afterRunningTime, MemberState, sleep, withTimeout } from "../interface/index.ts";
import type {
  Clock,
  Member,
  MembershipUpdate,
  PeerHandlers,
  Peers,
  ProbeMessage,
  ProbeReply,
  Random,
  ObjectVersion,
} from "../interface/index.ts";
import type { MembershipView } from "../request/index.ts";
import { createMemberTable, instanceNameOf } from "./member_table.ts";
import type { MemberTable } from "./member_table.ts";
import { subscribe } from "./subscription.ts";

/** Milliseconds between probes. */
const PROBE_PERIOD = 1_000;
/** Timeout of a probe in milliseconds. A probe through a helper gets twice as long. */
const PROBE_TIMEOUT = 1_000;
/** Number of members asked to probe a silent member before it is suspected. */
const PROBE_HELPERS = 2;
/** Milliseconds that a suspected member has to refute the suspicion. */
const SUSPICION_TIMEOUT = 2_000;
/**
 * Number of peers that new deltas are sent to at once, and milliseconds during which further deltas
 * are batched with them.
 */
const DELTA_FANOUT = 2;
const DELTA_DELAY = 50;
/**
 * Number of probe periods between probes of a seed or a dead member, which rejoin separated parts
 * of a fleet.
 */
const REJOIN_PERIODS = 5;

/** Tracks the states of the entry instances. */
export interface Membership extends MembershipView {
  readonly handlers: Pick<PeerHandlers, "probe">;
  /** Contacts the seeds and starts probing. */
  start(): void;
  /** Announces that this instance accepts no new requests. */
  leave(): void;
  /** Marks a backend server as leaving and announces this at once. */
  markWorkerLeaving(id: string, zone: string): void;
  /** Announces, also to the member itself, that the cloud is reclaiming an entry instance. */
  markMemberLeaving(name: string): void;
  /** Returns the ids of backend servers that are marked as leaving. */
  leavingWorkers(): ReadonlySet<string>;
  /** Returns all members that are not dead, including this one. */
  present(): readonly Member[];
  /**
   * Asks every live member for the versions that it has applied. Members that don't answer are
   * missing from the result.
   */
  survey(): Promise<ReadonlyMap<string, readonly ObjectVersion[]>>;
  /**
   * Returns when a message last arrived from a peer, in milliseconds of `clock`; undefined if none
   * has arrived.
   */
  lastMessageAt(): number | undefined;
  /** Sends the versions that this instance has applied to a few peers at once. */
  sendVersions(): void;
  /** Adds a listener that is called when a peer reports that this instance must leave. */
  onOwnNotice(listener: () => void): ReturnType<MembershipView["onChange"]>;
  close(): void;
}

/** Dependencies and settings of {@linkcode createMembership}. */
export interface MembershipParts {
  readonly self: Member;
  /** Addresses of a few entry instances. Their ids are learned from their replies. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: Peers;
  /** Returns the versions that this instance has applied. */
  readonly versions: () => readonly ObjectVersion[];
  /** Called with the versions that a peer reports as applied. */
  readonly receiveVersions: (from: Member, versions: readonly ObjectVersion[]) => void;
}

/**
 * Creates the task, which follows the SWIM protocol. Every second, a random member is probed. If it
 * doesn't answer, it is probed through other members, then suspected, and then declared dead unless
 * it refutes the suspicion by raising its incarnation number (`rise`). The amount of data that each
 * instance sends doesn't grow with the fleet.
 */
export function createMembership(parts: MembershipParts): Membership {
  const { self, clock, random, peers } = parts;
  const table = createMemberTable();
  const listeners = new Set<() => void>();
  const noticeListeners = new Set<() => void>();
  let own: MembershipUpdate = { member: self, state: MemberState.Alive, rise: 0, backend: false };
  let lastMessageAt: number | undefined;
  let closed = false;
  let isSendScheduled = false;
  let probeQueue: Member[] = [];

  const changed = (): void => {
    for (const listener of listeners) listener();
  };
  const merge = (delta: MembershipUpdate): boolean => {
    if (delta.member.id === self.id) return mergeOwnState(delta);
    const isNew = table.merge(delta, clock.now());
    if (isNew && !delta.backend && delta.state === MemberState.Suspect) scheduleDeath(delta);
    return isNew;
  };
  const mergeOwnState = (delta: MembershipUpdate): boolean => {
    const isNotice = delta.state === MemberState.Leaving && own.state === MemberState.Alive;
    if (isNotice && delta.rise >= own.rise) {
      own = { ...own, state: MemberState.Leaving, rise: delta.rise + 1 };
      for (const listener of noticeListeners) listener();
      return true;
    }
    const isSuspectOrDead = delta.state === MemberState.Suspect || delta.state === MemberState.Dead;
    if (!isSuspectOrDead || delta.rise < own.rise) return false;
    // Only this instance can refute its own suspicion. Without a higher number, others would
    // declare it dead and take over its slots while it is serving them.
    own = { ...own, rise: delta.rise + 1 };
    return true;
  };
  const scheduleDeath = ({ member, rise }: MembershipUpdate): void => {
    afterRunningTime(clock, SUSPICION_TIMEOUT, () => {
      const known = table.find(member.id);
      if (closed || known?.rise !== rise || known.state === MemberState.Dead) return;
      announce({ member, state: MemberState.Dead, rise, backend: false });
    });
  };
  /**
   * Probes a leaving member once more before it is declared dead, since it cannot be marked as
   * suspected.
   */
  const confirmLeavingMember = ({ member, rise }: MembershipUpdate): void => {
    const probeAgain = async (): Promise<void> => {
      if (closed || (await probe(member))) return;
      announce({ member, state: MemberState.Dead, rise, backend: false });
    };
    afterRunningTime(clock, SUSPICION_TIMEOUT, () => void probeAgain());
  };
  const announce = (delta: MembershipUpdate): void => {
    if (!merge(delta)) return;
    changed();
    sendDeltas();
  };
  const receive = (
    from: string,
    deltas: readonly MembershipUpdate[],
    versions: readonly ObjectVersion[],
  ): void => {
    lastMessageAt = clock.now();
    const newDeltas = deltas.filter(merge);
    const sender = table.find(from)?.member;
    if (sender !== undefined) {
      declareEarlierDead(sender);
      parts.receiveVersions(sender, versions);
    }
    if (newDeltas.length === 0) return;
    changed();
    sendDeltas();
  };
  /**
   * Declares earlier processes with the same name dead. A restarted instance uses the same address.
   */
  const declareEarlierDead = (sender: Member): void => {
    for (const { member, state, rise } of table.members()) {
      if (member.id === sender.id || instanceNameOf(member) !== instanceNameOf(sender)) continue;
      if (state !== MemberState.Dead) {
        announce({ member, state: MemberState.Dead, rise, backend: false });
      }
    }
  };
  const outgoing = (to: string): Pick<ProbeMessage, "from" | "deltas" | "versions"> => ({
    from: self.id,
    deltas: [own, ...suspicionOf(table, to), ...table.nextDeltas(random)],
    versions: parts.versions(),
  });
  const sendProbe = (to: Member, message: ProbeMessage): Promise<ProbeReply> => {
    const limit = message.target === undefined ? PROBE_TIMEOUT : 2 * PROBE_TIMEOUT;
    return withTimeout(clock, peers.probe(to, message), { limit, step: `probe ${to.id}` });
  };
  const probe = async (to: Member): Promise<boolean> => {
    try {
      const reply = await sendProbe(to, outgoing(to.id));
      if (closed) return true;
      receive(reply.from, reply.deltas, reply.versions);
      // The member answered but is recorded as dead. It must receive that state in order to refute
      // it.
      const answered = table.find(reply.from);
      if (to.id === "" && answered?.state === MemberState.Dead) void probe(answered.member);
      // A different incarnation may have answered at the same address.
      return to.id === "" || reply.from === to.id;
    } catch {
      return false;
    }
  };
  const probeThrough = async (helper: Member, target: Member): Promise<boolean> => {
    try {
      const reply = await sendProbe(helper, { ...outgoing(helper.id), target });
      receive(reply.from, reply.deltas, reply.versions);
      return reply.reached;
    } catch {
      return false;
    }
  };
  const checkMember = async (target: Member): Promise<void> => {
    if (await probe(target)) return;
    const helpers = shuffled(table, random)
      .filter((member) => member.id !== target.id)
      .slice(0, PROBE_HELPERS);
    const reached = await Promise.all(helpers.map((helper) => probeThrough(helper, target)));
    if (reached.includes(true) || closed) return;
    const known = table.find(target.id);
    if (known === undefined || known.state === MemberState.Dead) return;
    if (known.state === MemberState.Leaving) confirmLeavingMember(known);
    else announce({ member: target, state: MemberState.Suspect, rise: known.rise, backend: false });
  };
  const nextTarget = (): Member | undefined => {
    if (probeQueue.length === 0) probeQueue = shuffled(table, random);
    const target = probeQueue.pop();
    const isDead = target !== undefined && stateOf(table, target.id) === MemberState.Dead;
    return isDead ? undefined : target;
  };
  const rejoin = async (): Promise<void> => {
    const deadMembers = table.members().filter(({ state }) => state === MemberState.Dead);
    const addresses = [...parts.seeds, ...deadMembers.map(({ member }) => member.address)];
    const otherAddresses = addresses.filter((address) => address !== self.address);
    const address = otherAddresses[Math.floor(random.next() * otherAddresses.length)];
    if (address !== undefined) await probe({ id: "", address, callerAddress: "", zone: "" });
  };
  const run = async (): Promise<void> => {
    for (let period = 0; !isClosed(); period++) {
      const target = nextTarget();
      if (target !== undefined) void checkMember(target);
      if (target === undefined || period % REJOIN_PERIODS === 0) void rejoin();
      table.prune(clock.now());
      await sleep(clock, PROBE_PERIOD * (0.9 + 0.2 * random.next()));
    }
  };
  const isClosed = (): boolean => closed;
  /**
   * Sends new deltas to a few random members without waiting for the next probe. Each instance
   * forwards a delta this way once.
   */
  const sendDeltas = (): void => {
    if (isSendScheduled || closed) return;
    isSendScheduled = true;
    clock.after(DELTA_DELAY, () => {
      isSendScheduled = false;
      if (closed) return;
      for (const peer of shuffled(table, random).slice(0, DELTA_FANOUT)) void probe(peer);
    });
  };
  const answerProbe = async (message: ProbeMessage): Promise<ProbeReply> => {
    const isNew = table.find(message.from) === undefined;
    receive(message.from, message.deltas, message.versions);
    const { target } = message;
    const reached = target === undefined || target.id === self.id || (await probe(target));
    const deltas = isNew ? [own, ...table.all()] : outgoing(message.from).deltas;
    return { from: self.id, reached, deltas, versions: parts.versions() };
  };
  const survey = async (): Promise<ReadonlyMap<string, readonly ObjectVersion[]>> => {
    const found = new Map([[self.id, parts.versions()]]);
    const surveyMember = async (member: Member): Promise<void> => {
      try {
        const reply = await sendProbe(member, outgoing(member.id));
        found.set(reply.from, reply.versions);
      } catch {
        // A member that doesn't answer is left out of the result, as callers expect.
      }
    };
    await Promise.all(shuffled(table, random).map(surveyMember));
    return found;
  };
  const membersIn = (...states: MemberState[]): readonly Member[] => {
    const otherMembers = table.members().filter(({ state }) => states.includes(state));
    const found = otherMembers.map(({ member }) => member);
    return states.includes(own.state) ? [self, ...found] : found;
  };

  return {
    self,
    find: (id) => (id === self.id ? self : table.find(id)?.member),
    stateOf: (id) => (id === self.id ? own.state : stateOf(table, id)),
    alive: () => membersIn(MemberState.Alive, MemberState.Suspect),
    present: () => membersIn(MemberState.Alive, MemberState.Suspect, MemberState.Leaving),
    onChange: (listener) => subscribe(listeners, listener),
    onOwnNotice: (listener) => subscribe(noticeListeners, listener),
    lastMessageAt: () => lastMessageAt,
    survey,
    leavingWorkers: () => table.leavingWorkers(),
    handlers: { probe: answerProbe },
    start: () => void run(),
    sendVersions: sendDeltas,
    leave: () => {
      if (own.state === MemberState.Leaving) return;
      own = { ...own, state: MemberState.Leaving, rise: own.rise + 1 };
      changed();
      sendDeltas();
    },
    markWorkerLeaving: (id, zone) => {
      const member = { id, address: "", callerAddress: "", zone };
      announce({ member, state: MemberState.Leaving, rise: 1, backend: true });
    },
    markMemberLeaving: (name) => {
      if (instanceNameOf(self) === name) announce({ ...own, state: MemberState.Leaving });
      for (const { member, state, rise, backend } of table.members()) {
        const named = instanceNameOf(member) === name && state !== MemberState.Dead;
        if (named) announce({ member, state: MemberState.Leaving, rise, backend });
      }
    },
    close: () => {
      closed = true;
      listeners.clear();
      noticeListeners.clear();
    },
  };
}

function stateOf(table: MemberTable, id: string): MemberState {
  return table.find(id)?.state ?? MemberState.Dead;
}

/** Returns the suspicion or death recorded for a member, so that it can refute it. */
function suspicionOf(table: MemberTable, id: string): MembershipUpdate[] {
  const known = table.find(id);
  if (known === undefined) return [];
  const { member, state, rise, backend } = known;
  const isSuspectOrDead = state === MemberState.Suspect || state === MemberState.Dead;
  return isSuspectOrDead ? [{ member, state, rise, backend }] : [];
}

/** Returns the members that are not dead, in random order. */
function shuffled(table: MemberTable, random: Random): Member[] {
  return table
    .members()
    .filter(({ state }) => state !== MemberState.Dead)
    .map(({ member }) => ({ member, sortKey: random.next() }))
    .sort((a, b) => a.sortKey - b.sortKey)
    .map(({ member }) => member);
}
