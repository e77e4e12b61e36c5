import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { EVERYTHING, wallNow } from "./observation.ts";
import type {
  Disturbance,
  ObservedRequest,
  ObservedEnd,
  ObservedProbe,
  ObservedProcess,
  ObservedRun,
  Observations,
  WorkerStatement,
} from "./observation.ts";

/** Collects what is seen while a soak runs. */
export interface SoakRecord {
  /** The name that an instance gives itself in its calls, and its address. */
  named(name: string, instance: string): void;
  begin(): void;
  end(ends: readonly ObservedEnd[]): void;
  answered(request: ObservedRequest): void;
  ran(run: ObservedRun): void;
  probed(probe: ObservedProbe): void;
  /** The store has the configuration now. */
  configured(version: number): void;
  /** Something is disturbed from now on, until the returned function is called. */
  disturbed(target: string, how?: { readonly isPlanned: boolean }): () => void;
  /** An instance is told to stop, and its process has ended when the returned function is called. */
  stopping(instance: string): () => void;
  /** A worker has said that it leaves, or names a limit, until the returned function is called. */
  leaving(worker: string): () => void;
  limited(worker: string, perSecond: number): () => void;
  /** A look at the instances that was to take so many milliseconds; one that took longer was a stall of the soak itself. */
  looked(
    processes: readonly ObservedProcess[],
    look: { readonly from: number; readonly to: number; readonly expected: number },
  ): void;
  seen(): Observations;
}

/** Milliseconds by which a look may be late before everything counts as disturbed. */
const STALL = 150;

/** Makes an empty record. */
export function createRecord(platform: Pick<PlatformStandin, "duties">): SoakRecord {
  const requests: ObservedRequest[] = [];
  const runs: ObservedRun[] = [];
  const probes: ObservedProbe[] = [];
  const configurations = new Map<number, number>();
  const addresses = new Map<string, string>();
  const processes: ObservedProcess[] = [];
  const disturbances: Disturbance[] = [];
  const stops: Disturbance[] = [];
  const leaving: WorkerStatement[] = [];
  const limited: (WorkerStatement & { perSecond: number })[] = [];
  let ends: readonly ObservedEnd[] = [];
  let startedAt = 0;
  let endedAt = 0;

  /** Adds what lasts from now on to a list, and returns what ends it. */
  const since = <T extends { readonly from: number; to: number }>(
    list: T[],
    make: (span: { from: number; to: number }) => T,
  ): (() => void) => {
    const one = make({ from: wallNow(), to: Infinity });
    list.push(one);
    return () => {
      one.to = wallNow();
    };
  };
  return {
    named: (name, instance) => void addresses.set(name, instance),
    begin: () => void (startedAt = wallNow()),
    end: (found) => {
      endedAt = wallNow();
      ends = found;
    },
    answered: (request) => void requests.push(request),
    ran: (run) => void runs.push(run),
    probed: (probe) => void probes.push(probe),
    configured: (version) => void configurations.set(version, wallNow()),
    disturbed: (target, { isPlanned } = { isPlanned: false }) =>
      since(disturbances, (span) => ({ target, isPlanned, ...span })),
    stopping: (instance) =>
      since(stops, (span) => ({ target: instance, isPlanned: true, ...span })),
    leaving: (worker) => since(leaving, (span) => ({ worker, ...span })),
    limited: (worker, perSecond) => since(limited, (span) => ({ worker, perSecond, ...span })),
    looked: (found, { from, to, expected }) => {
      processes.push(...found);
      if (to - from > expected + STALL) {
        disturbances.push({ target: EVERYTHING, isPlanned: false, from, to });
      }
    },
    seen: () => ({
      startedAt,
      endedAt,
      requests,
      runs,
      probes,
      configurations,
      duties: platform.duties.map((duty) => ({
        ...duty,
        holder: addresses.get(duty.holder) ?? duty.holder,
      })),
      disturbances,
      leaving,
      limited,
      stops,
      processes,
      ends,
    }),
  };
}
