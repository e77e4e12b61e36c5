/**
 * Runs the built entry instance while it stands still, or has too little processor time, and its callers leave.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { beforeAll, expect, test } from "vitest";
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import type { RunningProcess } from "../soak/processes.ts";
import type { PacedRun } from "../stops/paced_worker.ts";
import { startCrowdFleet } from "./crowd_fleet.ts";
import type { CrowdFleet } from "./crowd_fleet.ts";
import { openConnection, sendAndLeave } from "./leaving_callers.ts";
import type { SentRequest } from "./leaving_callers.ts";

beforeAll(() => {
  mkdirSync("dist/crowds", { recursive: true });
  execFileSync(process.execPath, ["build.mjs", "platform"]);
});

/** Time that callers wait, in milliseconds. */
const DEADLINE = 450;
/** Milliseconds after a caller's end from which a request must not reach a worker any more. */
const LATE_AFTER = 500;
/** Number of requests that may be late. */
const MAX_LATE = 3;
const REQUESTS = 60;
/** Milliseconds for which an instance stands still. */
const PAUSE = 1_300;
/** Time until everything that was sent has reached a worker, in milliseconds. */
const SETTLE_TIME = 1_500;
const MACHINE = { memory: 350_000_000, descriptors: 4_200 };

const pause = (milliseconds: number): Promise<void> => sleep(systemClock, milliseconds);

/** Runs `use` with an instance and returns how many of the requests that it sends reach a worker late. */
async function countLate(
  name: string,
  use: (fleet: CrowdFleet) => Promise<readonly SentRequest[]>,
): Promise<{ readonly late: number; readonly answered: number }> {
  const runs: PacedRun[] = [];
  const fleet = await startCrowdFleet({ machine: MACHINE, onRun: (run) => void runs.push(run) });
  try {
    const requests = new Map((await use(fleet)).map((request) => [request.id, request]));
    await pause(SETTLE_TIME);
    const late = runs.filter(
      ({ id, startedAt }) => startedAt > (requests.get(id)?.closedAt ?? Infinity) + LATE_AFTER,
    );
    const answered = [...requests.values()].filter(({ isAnswered }) => isAnswered);
    return { late: late.length, answered: answered.length };
  } finally {
    await fleet.close(name);
  }
}

/** Lets a process stand still, meanwhile runs `act`, and lets it go on. */
async function standStill(process: RunningProcess, act: () => void): Promise<void> {
  process.signal("SIGSTOP");
  act();
  await pause(PAUSE);
  process.signal("SIGCONT");
}

/** Opens connections and uses each of them once. */
async function openUsed(address: string): Promise<Socket[]> {
  const sockets = Array.from({ length: REQUESTS }, () => openConnection(address));
  const options = { method: "GET", deadline: PAUSE, keepsConnection: true } as const;
  const requests = sockets.map((socket) => sendAndLeave(address, { ...options, socket }));
  await expect.poll(() => requests.every(({ isAnswered }) => isAnswered)).toBe(true);
  return sockets;
}

// Guards against work for callers that connect, send and leave while their instance stands still.
test.each(["GET", "POST"] as const)(
  "a %s request on a new connection whose caller left before it was read isn't passed on",
  async (method) => {
    const { late } = await countLate(`left-new-${method}`, async ({ listen, process }) => {
      const requests: SentRequest[] = [];
      await standStill(process, () => {
        for (let sent = 0; sent < REQUESTS; sent++)
          requests.push(sendAndLeave(listen.callers, { method, deadline: DEADLINE }));
      });
      return requests;
    });
    expect(late).toBeLessThanOrEqual(MAX_LATE);
  },
);

// Guards against the same on connections that were used before, which are all read in one turn.
test.each(["GET", "POST"] as const)(
  "a %s request on a used connection whose caller left before it was read isn't passed on",
  async (method) => {
    const { late } = await countLate(`left-used-${method}`, async ({ listen, process }) => {
      const sockets = await openUsed(listen.callers);
      let requests: SentRequest[] = [];
      await standStill(process, () => {
        requests = sockets.map((socket) =>
          sendAndLeave(listen.callers, { method, deadline: DEADLINE, socket }),
        );
      });
      return requests;
    });
    expect(late).toBeLessThanOrEqual(MAX_LATE);
  },
);

// Guards against requests that wait for a connection to a worker, and are sent on it after their callers have left.
test("a request that was read before the pause isn't passed on after its caller has left", async () => {
  const { late } = await countLate("left-read", async ({ listen, process }) => {
    const requests: SentRequest[] = [];
    for (let sent = 0; sent < REQUESTS; sent++)
      requests.push(sendAndLeave(listen.callers, { method: "GET", deadline: DEADLINE }));
    // Some requests have been read and wait for a connection to a worker.
    await pause(8);
    await standStill(process, () => undefined);
    return requests;
  });
  expect(late).toBeLessThanOrEqual(MAX_LATE);
});

/** Milliseconds of the periods of a starved process. */
const PERIOD = 50;
/** Processor time that it gets in each, in milliseconds, also if others use the processor. */
const RUN_TIME = 8;
/** Requests in each period, each on a new connection: more than the process can serve in it. */
const REQUESTS_PER_PERIOD = 30;
const NANOSECONDS_PER_MILLISECOND = 1e6;
const PERIODS_WITH_REQUESTS = 60;
/** Periods for which the process is still starved. */
const PERIODS_AFTERWARDS = 50;
const ORDINARY_DEADLINE = 1_500;

/** Lets a process go on until it has used this many milliseconds of processor time, or a period has passed. */
async function runFor(process: RunningProcess, milliseconds: number): Promise<void> {
  const end = processorTime(process) + milliseconds;
  const periodEnd = systemClock.now() + PERIOD;
  process.signal("SIGCONT");
  do await pause(1);
  while (processorTime(process) < end && systemClock.now() < periodEnd);
}

/** Returns the milliseconds for which a process has run. */
function processorTime({ pid }: RunningProcess): number {
  const [nanoseconds] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ");
  return Number(nanoseconds) / NANOSECONDS_PER_MILLISECOND;
}

// Guards against the same in an instance that never stands still for long, but reads late because it is slower than its load.
test("an instance that is slower than its load serves callers that wait, not those that have left", async () => {
  let ordinary: SentRequest | undefined;
  const { late, answered } = await countLate("slower-than-load", async ({ listen, process }) => {
    const requests: SentRequest[] = [];
    for (let period = 0; period < PERIODS_WITH_REQUESTS + PERIODS_AFTERWARDS; period++) {
      process.signal("SIGSTOP");
      const count = period < PERIODS_WITH_REQUESTS ? REQUESTS_PER_PERIOD : 0;
      for (let sent = 0; sent < count; sent++)
        requests.push(sendAndLeave(listen.callers, { method: "GET", deadline: DEADLINE }));
      await pause(PERIOD - RUN_TIME);
      await runFor(process, RUN_TIME);
    }
    await pause(200);
    ordinary = sendAndLeave(listen.callers, { method: "GET", deadline: ORDINARY_DEADLINE });
    await pause(ORDINARY_DEADLINE);
    return requests;
  });
  expect({ isAnswered: ordinary?.isAnswered }).toEqual({ isAnswered: true });
  expect(late).toBeLessThanOrEqual(MAX_LATE);
  expect(answered).toBeGreaterThan(0);
});
