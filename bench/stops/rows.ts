/**
 * The loads of the stop harness. Each stops instances one after the other.
 *
 * @module
 */
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { createKeptConnection, pickBetween, runMixedClient, sendTo, tokensFor } from "./clients.ts";
import { runRawCallers } from "./raw_callers.ts";
import type { StopFleet, StopInstance } from "./stop_fleet.ts";

/** Name of a row. */
export enum Row {
  /** Long streams on open connections, late after SIGTERM. */
  Streams = "streams",
  /** Mixed clients; instances are stopped in turn. */
  Turns = "turns",
  /** The same, with all workers silent for a while within each stop. */
  Silent = "silent",
  /** The same, with clients that keep to their instance. */
  Kept = "kept",
  /** The same, with a new configuration every half second. */
  Changes = "changes",
  /** The same, with answers that have no length. */
  Unframed = "unframed",
  /** Callers that read slowly, use slow links, or don't wait for their answers. */
  Raw = "raw",
}

const STREAMS_PER_STOP = 60;
const STREAM_LENGTHS = { from: 4_500, to: 6_000 };
/** Time after SIGTERM in which the streams are sent, in milliseconds. */
const SEND_TIMES = { from: 2_500, to: 3_400 };
const WARM_UP_STREAMS = 20;
const WARM_UP_LENGTHS = { from: 300, to: 6_000 };
const CLIENTS = 36;
const TURNS = 8;
const TURN_INTERVAL = 5_000;
/** Time before the first and after the last stop, in milliseconds. */
const LEAD_TIME = 2_000;
/** Start after SIGTERM and length of the workers' silence, in milliseconds. */
const SILENCE = { after: 1_000, length: 1_500 };
const CHANGE_INTERVAL = 500;

/** Runs a row to the end of all its requests. */
export function runRow(row: Row, fleet: StopFleet, random: Random): Promise<void> {
  if (row === Row.Raw) return runRawCallers(fleet, random);
  return row === Row.Streams ? runStreams(fleet, random) : runTurns(row, fleet, random);
}

async function runStreams(fleet: StopFleet, random: Random): Promise<void> {
  await warmUp(fleet, random);
  for (const [index, instance] of fleet.instances.entries()) {
    const agents = await openConnections(fleet, instance);
    const stopped = fleet.stop(index);
    const ends = agents.map(async (agent) => {
      const tokens = tokensFor(pickBetween(random, STREAM_LENGTHS));
      await sleep(systemClock, pickBetween(random, SEND_TIMES));
      await sendTo(fleet, instance, { kind: "stream", tokens, agent });
      agent.destroy();
    });
    await Promise.all([...ends, stopped]);
    await fleet.restart(index);
  }
}

/** Sends streams of many lengths to all instances, so that they know the pace of the workers. */
async function warmUp(fleet: StopFleet, random: Random): Promise<void> {
  const streams = fleet.instances.flatMap((instance) =>
    Array.from({ length: WARM_UP_STREAMS }, async () => {
      const tokens = tokensFor(pickBetween(random, WARM_UP_LENGTHS));
      const agent = createKeptConnection();
      await sendTo(fleet, instance, { kind: "stream", tokens, agent });
      agent.destroy();
    }),
  );
  await Promise.all(streams);
}

async function openConnections(
  fleet: StopFleet,
  instance: StopInstance,
): Promise<ReturnType<typeof createKeptConnection>[]> {
  const agents = Array.from({ length: STREAMS_PER_STOP }, createKeptConnection);
  // The first request on a connection opens it; a short one leaves it open.
  const opened = agents.map((agent) => sendTo(fleet, instance, { kind: "safe", tokens: 1, agent }));
  await Promise.all(opened);
  return agents;
}

async function runTurns(row: Row, fleet: StopFleet, random: Random): Promise<void> {
  let isActive = true;
  for (const worker of fleet.workers) worker.isUnframed = row === Row.Unframed;
  const clients = Array.from({ length: CLIENTS }, () =>
    runMixedClient({
      fleet,
      random,
      keepsInstance: row === Row.Kept,
      isActive: () => isActive,
    }),
  );
  const changes = row === Row.Changes ? writeChanges(fleet, () => isActive) : undefined;
  await sleep(systemClock, LEAD_TIME);
  const turns: Promise<void>[] = [];
  for (let turn = 0; turn < TURNS; turn++) {
    turns.push(fleet.stop(turn).then(() => fleet.restart(turn)));
    if (row === Row.Silent) turns.push(silenceWorkers(fleet));
    await sleep(systemClock, TURN_INTERVAL);
  }
  await Promise.all(turns);
  await sleep(systemClock, LEAD_TIME);
  isActive = false;
  await Promise.all([...clients, changes]);
}

async function silenceWorkers({ workers }: StopFleet): Promise<void> {
  await sleep(systemClock, SILENCE.after);
  for (const worker of workers) worker.isSilent = true;
  await sleep(systemClock, SILENCE.length);
  for (const worker of workers) worker.isSilent = false;
}

async function writeChanges(fleet: StopFleet, isActive: () => boolean): Promise<void> {
  for (let version = 2; isActive(); version++) {
    fleet.writeConfiguration(version);
    await sleep(systemClock, CHANGE_INTERVAL);
  }
}
