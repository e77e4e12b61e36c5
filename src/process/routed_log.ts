import "./log_switch.ts";
import { ROARR, Roarr } from "roarr";
import type { Clock } from "../interface/index.ts";

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The structured log of one instance: a line for each decision and each change of what it believes. */
export interface RoutedLog {
  /** Something touched a request. */
  readonly decided: (step: string, id: string | undefined, fields: LogFields) => void;
  /** Something changed what the instance believes, or its own state. */
  readonly changed: (step: string, fields: LogFields) => void;
  /** Something went wrong that no request shows. */
  readonly fault: (step: string, fields: LogFields) => void;
}

/** Milliseconds in which a fault that repeats is logged once. */
const FAULT_PERIOD = 1_000;

/** What a log is made with. */
export interface RoutedLogParts {
  /** The instance's name, which each line bears. */
  readonly instance: string;
  readonly clock: Clock;
  /** Takes each line; the log library writes the lines of a whole process to one place. */
  readonly write: (line: string) => void;
}

/** Makes the log of an instance. */
export function createRoutedLog({ instance, clock, write }: RoutedLogParts): RoutedLog {
  ROARR.write = write;
  const log = Roarr.child({ instance });
  const faults = new Map<string, { at: number; held: number }>();
  return {
    decided: (step, id, fields) => log.info({ step, request: id ?? "", ...fields }, "request"),
    changed: (step, fields) => log.info({ step, ...fields }, "state"),
    fault: (step, fields) => {
      const now = clock.now();
      const known = faults.get(step);
      if (known !== undefined && now - known.at < FAULT_PERIOD) {
        known.held++;
        return;
      }
      faults.set(step, { at: now, held: 0 });
      log.warn({ step, ...fields, repeatedBefore: known?.held ?? 0 }, "fault");
    },
  };
}
