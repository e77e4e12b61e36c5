/**
 * Judges the requests around planned stops.
 *
 * @module
 */
import type { PacedRun } from "./paced_worker.ts";

/** A request as its client observed it. Times are in milliseconds since 1970. */
export interface StopRequest {
  readonly id: string;
  /** Name under which it is counted in the report, if it isn't only counted among all. */
  readonly group?: string;
  /** Process id of the instance that it was sent to. */
  readonly pid: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Milliseconds from its start until its answer is complete, as its declared tokens say. */
  readonly length: number;
  /** HTTP status; 0 if none was received. */
  readonly status: number;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
}

/** A planned stop of an instance. */
export interface Stop {
  readonly pid: number;
  /** When SIGTERM was sent. */
  readonly at: number;
}

/** What became of a request. */
export enum Fate {
  /** Complete answer of a worker. */
  Whole = "whole",
  /** Complete answer with status 503. */
  Refused = "refused",
  /** Complete answer with another status than 200 and 503. */
  Failed = "failed",
  /** It crossed a close of its connection, or was never connected: not passed on and ended at once. */
  Unread = "unread",
  /** It was passed on or waited, and its connection ended without a complete answer. */
  BrokenOff = "broken off",
}

/** The judgement of one request. */
export interface Judgement {
  readonly request: StopRequest;
  readonly fate: Fate;
  /** Milliseconds from SIGTERM to the instance until it was sent; undefined if its instance wasn't stopped. */
  readonly sentAfter: number | undefined;
  /** Whether it counts under the rule LOST. */
  readonly isLost: boolean;
  /** Whether it was refused though its answer would have been complete before the instance ends answers. */
  readonly isNeedlesslyRefused: boolean;
}

/** Grace period of the instances, in milliseconds. */
export const GRACE = 8_000;
/** Time after SIGTERM at which an instance ends the answers in progress, in milliseconds. */
export const END_OF_ANSWERS = GRACE - 700;
/** Time after SIGTERM until which requests are excused that are still worked on at the end, in milliseconds. */
const EXCUSED_UNTIL = 3_000;
/** Time after SIGTERM from which a run counts as still worked on at the end: the last sixth of the grace period. */
const LATE_WORK = (GRACE * 5) / 6;
/** Time beyond the grace period in which the rule applies, in milliseconds. */
const RULE_MARGIN = 1_000;
/** Time after which a request without an answer counts as read, in milliseconds. */
const LOST_TIME = 200;
const SUCCESS = 200;
const REFUSED = 503;

/** Judges a request with its runs and the stop of its instance, if there was one. */
export function judge(
  request: StopRequest,
  { runs, stop }: { readonly runs: readonly PacedRun[]; readonly stop: Stop | undefined },
): Judgement {
  const fate = fateOf(request, runs);
  const sentAfter = stop === undefined ? undefined : request.sentAt - stop.at;
  return {
    request,
    fate,
    sentAfter,
    isLost: fate === Fate.BrokenOff && stop !== undefined && isCounted(request, { runs, stop }),
    isNeedlesslyRefused:
      fate === Fate.Refused &&
      (sentAfter === undefined || sentAfter + request.length <= END_OF_ANSWERS),
  };
}

function fateOf(request: StopRequest, runs: readonly PacedRun[]): Fate {
  const { isWhole, status, sentAt, endedAt } = request;
  if (isWhole && status === SUCCESS) return Fate.Whole;
  if (isWhole) return status === REFUSED ? Fate.Refused : Fate.Failed;
  const hasWaited = endedAt - sentAt > LOST_TIME;
  return status > 0 || runs.length > 0 || hasWaited ? Fate.BrokenOff : Fate.Unread;
}

/** Whether a broken-off request counts: it ended around the stop and isn't excused by long work at the end. */
function isCounted(
  { sentAt, endedAt }: StopRequest,
  { runs, stop }: { readonly runs: readonly PacedRun[]; readonly stop: Stop },
): boolean {
  if (endedAt < stop.at || sentAt > stop.at + GRACE + RULE_MARGIN) return false;
  const isLateWork = runs.some((run) => run.endedAt >= stop.at + LATE_WORK);
  return !(sentAt <= stop.at + EXCUSED_UNTIL && isLateWork);
}
