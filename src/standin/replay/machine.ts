import type { Pool } from "../../decision/index.ts";
import { WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { MachineClass } from "../../version/index.ts";
import { createEngineModel } from "../engine_model.ts";
import type { EngineModel, EngineModelEvent } from "../engine_model.ts";
import type { EventQueue } from "./event_queue.ts";

/** A worker in a replay: its instance, its engine, what it costs. */
export interface Machine {
  readonly pool: Pool;
  readonly launchedAt: number;
  readonly engine: EngineModel;
  /** What the platform says of it. */
  worker: Worker;
  /** When it stopped costing. */
  stoppedAt: number | undefined;
  /** When it has sent all KV cache that it was told to. */
  transferIdleAt: number;
  /** Whether an event stands for the end of its engine's step. */
  isStepScheduled: boolean;
}

/** What a machine is made with. */
export interface MachineOptions {
  readonly id: string;
  readonly service: string;
  readonly pool: Pool;
  readonly machineClass: MachineClass;
  readonly now: number;
}

/** Makes a machine that is starting. */
export function createMachine(options: MachineOptions): Machine {
  const { id, service, pool, machineClass, now } = options;
  const { zone, purchase } = pool;
  return {
    pool,
    launchedAt: now,
    engine: createEngineModel(machineClass),
    worker: {
      id,
      address: "",
      service,
      zone,
      machineClass: pool.machineClass,
      purchase,
      state: WorkerState.Starting,
    },
    stoppedAt: undefined,
    transferIdleAt: 0,
    isStepScheduled: false,
  };
}

/** Gives a machine another state. */
export function setWorkerState(machine: Machine, state: WorkerState, reclaimAt?: number): void {
  machine.worker =
    reclaimAt === undefined
      ? { ...machine.worker, state }
      : { ...machine.worker, state, reclaimAt };
}

const MILLISECONDS_PER_HOUR = 3_600_000;

/** What a machine has cost until now, in euros. */
export function machineCost({ launchedAt, stoppedAt, pool }: Machine, now: number): number {
  return ((Math.min(now, stoppedAt ?? now) - launchedAt) / MILLISECONDS_PER_HOUR) * pool.price;
}

/**
 * Has the machine's engine go on by itself: whoever gives it work calls this again.
 *
 * @param handle Called with what happened at each step's end.
 */
export function scheduleNextStep(
  machine: Machine,
  events: EventQueue,
  handle: (events: readonly EngineModelEvent[]) => void,
): void {
  const next = machine.engine.nextEventAt();
  if (machine.isStepScheduled || next === undefined) return;
  machine.isStepScheduled = true;
  events.add(next, () => {
    machine.isStepScheduled = false;
    if (machine.worker.state === WorkerState.Gone) return;
    handle(machine.engine.advanceTo(events.now()));
    scheduleNextStep(machine, events, handle);
  });
}
