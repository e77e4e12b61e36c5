import "./log_switch.ts";
import { ROARR, Roarr } from "roarr";
import type { Clock } from "../interface/index.ts";

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The structured log of one instance, with a line for each decision on a request and each state change. */
export interface RoutedLog {
  /** Logs a step in the processing of a request. */
  readonly decided: (step: string, id: string | undefined, fields: LogFields) => void;
  /** Logs a change of the instance's state or of its view of the fleet. */
  readonly changed: (step: string, fields: LogFields) => void;
  /** Logs an error that isn't tied to a request. Repeated errors are rate limited. */
  readonly fault: (step: string, fields: LogFields) => void;
}

/** Interval in which a repeated fault is logged at most once, in milliseconds. */
const FAULT_LOG_INTERVAL = 1_000;

/** Dependencies of {@linkcode createRoutedLog}. */
export interface RoutedLogParts {
  /** Name of the instance, included in each line. */
  readonly instance: string;
  readonly clock: Clock;
  /** Receives each line. The log library has one writer per process. */
  readonly write: (line: string) => void;
}

/** Creates the log of an instance and makes `write` the log writer of the process. */
export function createRoutedLog({ instance, clock, write }: RoutedLogParts): RoutedLog {
  ROARR.write = write;
  const log = Roarr.child({ instance });
  const faults = new Map<string, { at: number; suppressed: number }>();
  return {
    decided: (step, id, fields) => log.info({ step, request: id ?? "", ...fields }, "request"),
    changed: (step, fields) => log.info({ step, ...fields }, "state"),
    fault: (step, fields) => {
      const now = clock.now();
      const known = faults.get(step);
      if (known !== undefined && now - known.at < FAULT_LOG_INTERVAL) {
        known.suppressed++;
        return;
      }
      faults.set(step, { at: now, suppressed: 0 });
      log.warn({ step, ...fields, repeatedBefore: known?.suppressed ?? 0 }, "fault");
    },
  };
}
