import type { Digest } from "./peer_exchange.ts";
import type { RoutedBoard, WorkerUse } from "./routed_board.ts";

/** Runs, old ones with less weight, under which a worker isn't worth telling of. */
const LEAST_RUNS = 0.1;

/** What the instance has at workers, without those at which it has nothing. */
export function usedWorkers(board: RoutedBoard): Digest["use"] {
  const used: Digest["use"] = {};
  for (const [id, { running, unreadTokens, tally }] of board.use()) {
    const { runs, failures } = tally;
    if (running === 0 && runs < LEAST_RUNS) continue;
    used[id] = [running, unreadTokens, round(runs), round(failures)];
  }
  return used;
}

/** What another instance has at one worker, as its digest says. */
export function useOf([running, unreadTokens, runs, failures]: [
  number,
  number,
  number,
  number,
]): WorkerUse {
  return { running, unreadTokens, tally: { runs, failures } };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
