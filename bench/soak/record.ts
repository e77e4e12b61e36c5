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

/** Collects the records of a running soak test. */
export interface SoakRecord {
  /** Adds the name that an instance uses in its platform calls, with its address. */
  named(name: string, instance: string): void;
  /** Sets the start time of the test. */
  begin(): void;
  /** Sets the end time of the test and its final states. */
  end(ends: readonly ObservedEnd[]): void;
  /** Adds a request whose answer has ended. */
  answered(request: ObservedRequest): void;
  /** Adds a run. */
  ran(run: ObservedRun): void;
  /** Adds a probe. */
  probed(probe: ObservedProbe): void;
  /** Records that the store has received a configuration. */
  configured(version: number): void;
  /** Starts a disturbance of a target; the returned function ends it. */
  disturbed(target: string, how?: { readonly isPlanned: boolean }): () => void;
  /** Starts a planned stop of an instance; the returned function ends it. */
  stopping(instance: string): () => void;
  /** Starts the draining of a backend server; the returned function ends it. */
  leaving(worker: string): () => void;
  /** Starts the period of an announced limit, in requests per second; the returned function ends it. */
  limited(worker: string, perSecond: number): () => void;
  /**
   * Adds samples of the instances' resource usage. The interval was to last `expected` milliseconds; if it lasted much
   * longer, the test process itself was stalled, which counts as a disturbance of everything.
   */
  looked(
    processes: readonly ObservedProcess[],
    look: { readonly from: number; readonly to: number; readonly expected: number },
  ): void;
  /** Returns all records. */
  seen(): Observations;
}

/** Delay of a sample above which the test process counts as stalled, in milliseconds. */
const STALL = 150;

/** Creates an empty record. */
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

  /** Adds a period that starts now to a list; returns the function that ends it. */
  const startPeriod = <T extends { readonly from: number; to: number }>(
    list: T[],
    make: (span: { from: number; to: number }) => T,
  ): (() => void) => {
    const period = make({ from: wallNow(), to: Infinity });
    list.push(period);
    return () => {
      period.to = wallNow();
    };
  };
  return {
    named: (name, instance) => void addresses.set(name, instance),
    begin: () => void (startedAt = wallNow()),
    end: (finalStates) => {
      endedAt = wallNow();
      ends = finalStates;
    },
    answered: (request) => void requests.push(request),
    ran: (run) => void runs.push(run),
    probed: (probe) => void probes.push(probe),
    configured: (version) => void configurations.set(version, wallNow()),
    disturbed: (target, { isPlanned } = { isPlanned: false }) =>
      startPeriod(disturbances, (span) => ({ target, isPlanned, ...span })),
    stopping: (instance) =>
      startPeriod(stops, (span) => ({ target: instance, isPlanned: true, ...span })),
    leaving: (worker) => startPeriod(leaving, (span) => ({ worker, ...span })),
    limited: (worker, perSecond) =>
      startPeriod(limited, (span) => ({ worker, perSecond, ...span })),
    looked: (samples, { from, to, expected }) => {
      processes.push(...samples);
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
