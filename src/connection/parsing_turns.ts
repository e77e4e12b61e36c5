import type { Clock } from "../interface/index.ts";

/** Divides the time of the process between the connections that have bytes to parse, and everything else. */
export interface ParsingTurns<Item> {
  /** Whether the time for parsing in this turn of the event loop is used up. */
  isOver(): boolean;
  /** Continues with the item in a later turn, after those that wait already. */
  add(item: Item): void;
}

/** Time for parsing in one turn of the event loop, in milliseconds. Timers and other connections wait for so long. */
const TURN_TIME = 5;

/**
 * Creates the turns of one server.
 *
 * @param proceed Continues with an item. It may add the item again.
 */
export function createParsingTurns<Item>(
  clock: Pick<Clock, "now">,
  proceed: (item: Item) => void,
): ParsingTurns<Item> {
  const waiting = new Set<Item>();
  let beganAt: number | undefined;
  const isOver = (): boolean => {
    if (beganAt === undefined) {
      beganAt = clock.now();
      setImmediate(nextTurn);
      return false;
    }
    return clock.now() - beganAt >= TURN_TIME;
  };
  const nextTurn = (): void => {
    beganAt = undefined;
    for (const item of [...waiting]) {
      if (isOver()) return;
      waiting.delete(item);
      proceed(item);
    }
  };
  return { isOver, add: (item) => void waiting.add(item) };
}
