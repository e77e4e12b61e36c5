import type { Clock } from "../interface/index.ts";

/** Divides the time of the process between accepting connections, parsing what they send, and everything else. */
export interface ReadingTurns<Item> {
  /** Begins to parse what belongs to one item. Returns a function that tells whether its time in this turn is used up. */
  beginItem(): () => boolean;
  /** Whether a request that was read now has to wait for a later turn. */
  isBehind(): boolean;
  /** Continues in a later turn with an item that has more of a request in progress. */
  addPart(item: Item): void;
  /** Begins the request of an item in a later turn, once what follows it has been read, such as its caller's end. */
  addRequest(item: Item): void;
}

/** Dependencies of {@linkcode createReadingTurns}. */
export interface ReadingTurnsParts<Item> {
  readonly clock: Pick<Clock, "now">;
  /** Whether what is read now may have lain unread, because the process was stalled. */
  readonly isLate: () => boolean;
  /** Returns the milliseconds that were spent on the request of an item. Of those that wait, the cheapest is continued first. */
  readonly spentOn: (item: Item) => number;
  /** Whether connections wait to be accepted that may have waited for long. */
  readonly isAccepting: () => boolean;
  /** Continues with an item. It may add the item again. */
  readonly proceed: (item: Item) => void;
  /** Refuses the request of an item that has waited for too long. */
  readonly refuse: (item: Item) => void;
}

/** Time for parsing in one turn of the event loop, in milliseconds. Timers and other connections wait for so long. */
const TURN_TIME = 5;
/** The part of it for one item: a body in chunks of one byte would otherwise take it all. */
const ITEM_TIME = 1;
/** The time for parsing in one turn if everything else took longer. */
const MAX_TURN_TIME = 20;
/** Milliseconds for which connections are accepted before requests are begun. */
const MAX_ACCEPT_TIME = 20;
/** Longest wait of a request, in milliseconds, with which the oldest is begun first. */
const MAX_WAIT_IN_ORDER = 100;
/** Longest wait of a request, in milliseconds: its caller can ask another instance as long as it has time left. */
const MAX_WAIT = 500;
/** Milliseconds of a turn that count as waiting at most: a stall of the process is no reason to refuse a request. */
const MAX_WAIT_STEP = 50;

/** When the request of an item began to wait. */
interface Wait {
  /** Milliseconds of running time. */
  readonly since: number;
  /** Number of the turn in which its latest bytes were read. */
  readonly turn: number;
}

/**
 * Creates the turns of one server.
 *
 * Node.js accepts one connection of a listener in each turn of its event loop. If each turn begins requests, hundreds of
 * connections wait to be accepted for longer than their callers do, and every request is read too late. So connections
 * are accepted first, and requests wait where the ends of their callers can be seen.
 *
 * If they wait for long, the newest is begun first. Oldest first, each would be begun just before its caller leaves. (B.
 * Maurer, "Fail at Scale", ACM Queue 13(8), 2015, on adaptive LIFO and controlled delay.) Those that wait for too long are
 * refused while their callers have time left.
 */
export function createReadingTurns<Item>({
  clock,
  isLate,
  isAccepting,
  spentOn,
  proceed,
  refuse,
}: ReadingTurnsParts<Item>): ReadingTurns<Item> {
  const parts = new Set<Item>();
  const requests = new Map<Item, Wait>();
  let turn = 0;
  let hasBegun = false;
  /** When the time for parsing ends. */
  let endsAt = 0;
  let servedAt = clock.now();
  /** The milliseconds of the turns so far, and when the last one ended. */
  let runningTime = 0;
  let endedAt = clock.now();

  const begin = (): void => {
    if (hasBegun) return;
    hasBegun = true;
    endsAt = clock.now() + TURN_TIME;
    setImmediate(endTurn);
  };
  const isOver = (): boolean => {
    begin();
    return clock.now() >= endsAt;
  };
  /** Returns the items whose requests may begin, the oldest first. */
  const readyRequests = (): Item[] =>
    [...requests].filter(([, wait]) => wait.turn < turn).map(([item]) => item);
  const waitOf = (item: Item | undefined): number => {
    const wait = item === undefined ? undefined : requests.get(item);
    return wait === undefined ? 0 : runningTime - wait.since;
  };
  const takeUntil = (end: number, items: Iterable<Item>, run: (item: Item) => void): void => {
    for (const item of items) {
      if (clock.now() >= end) return;
      parts.delete(item);
      requests.delete(item);
      run(item);
    }
  };
  const serve = (): void => {
    const startedAt = clock.now();
    const time = Math.min(MAX_TURN_TIME, Math.max(TURN_TIME, startedAt - servedAt));
    endsAt = startedAt + time;
    const ready = readyRequests();
    const overdue = ready.filter((item) => waitOf(item) > MAX_WAIT);
    const inTime = ready.slice(overdue.length);
    const order = waitOf(ready[0]) > MAX_WAIT_IN_ORDER ? inTime.reverse() : inTime;
    takeUntil(startedAt + time / 4, overdue, refuse);
    takeUntil(parts.size === 0 ? endsAt : startedAt + time / 2, order, proceed);
    const cheapestFirst = [...parts].sort((one, other) => spentOn(one) - spentOn(other));
    takeUntil(endsAt, cheapestFirst, proceed);
    servedAt = clock.now();
  };
  const endTurn = (): void => {
    hasBegun = false;
    runningTime += Math.min(clock.now() - endedAt, MAX_WAIT_STEP);
    endedAt = clock.now();
    if (parts.size + requests.size > 0) {
      begin();
      if (!isAccepting() || clock.now() - servedAt >= MAX_ACCEPT_TIME) serve();
    }
    turn++;
  };
  return {
    beginItem: () => {
      begin();
      const itemEnd = Math.min(endsAt, clock.now() + ITEM_TIME);
      return () => clock.now() >= itemEnd;
    },
    isBehind: () => isOver() || requests.size > 0 || isAccepting() || isLate(),
    addPart: (item) => {
      begin();
      parts.add(item);
    },
    addRequest: (item) => {
      begin();
      requests.set(item, { since: requests.get(item)?.since ?? runningTime, turn });
    },
  };
}
