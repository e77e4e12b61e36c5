import type { Pool } from "../../decision/index.ts";
import { WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import type { MachineClass } from "../../version/index.ts";
import { createEngineModel } from "../engine_model.ts";
import type { EngineModel, EngineModelEvent } from "../engine_model.ts";
import type { EventQueue } from "./event_queue.ts";

/** A worker in a replay, with its cloud instance, its engine and its cost. */
export interface Machine {
  readonly pool: Pool;
  /** Time in milliseconds from which the instance is paid for. */
  readonly launchedAt: number;
  readonly engine: EngineModel;
  /** The worker as the platform reports it. */
  worker: Worker;
  /** Time at which the instance stopped and its cost ended. */
  stoppedAt: number | undefined;
  /** Time at which the machine has sent all KV cache that it was asked to export. */
  transferIdleAt: number;
  /** Whether an event is scheduled for the end of the engine's current step. */
  isStepScheduled: boolean;
}

/** Options of a machine. */
export interface MachineOptions {
  readonly id: string;
  readonly service: string;
  readonly pool: Pool;
  readonly machineClass: MachineClass;
  readonly now: number;
}

/** Creates a machine in the starting state. */
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

/** Sets the state of a machine's worker, and the time of its reclaim if one was announced. */
export function setWorkerState(machine: Machine, state: WorkerState, reclaimAt?: number): void {
  machine.worker =
    reclaimAt === undefined
      ? { ...machine.worker, state }
      : { ...machine.worker, state, reclaimAt };
}

const MILLISECONDS_PER_HOUR = 3_600_000;

/** Returns the cost of a machine so far, in euros. */
export function machineCost({ launchedAt, stoppedAt, pool }: Machine, now: number): number {
  return ((Math.min(now, stoppedAt ?? now) - launchedAt) / MILLISECONDS_PER_HOUR) * pool.price;
}

/**
 * Schedules the end of the engine's current step, and then of each following one. Call it again
 * after submitting work to the engine.
 *
 * @param handle Called with the events of each step.
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
