import type { HeaderNames, ResponseHead } from "../interface/index.ts";

/** What a worker's response states about the worker itself. */
export interface WorkerStatement {
  /** Whether the worker is about to leave and wants no further requests. */
  readonly isLeaving: boolean;
  /** Milliseconds for which the worker wants no requests from this instance; 0 if it asks for no pause. */
  readonly pause: number;
}

/** Value of the header by which a worker states that it is leaving. */
const LEAVING = "1";
const SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1_000;
const DECIMAL_PATTERN = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;

/** Parses what a response states about the worker that sent it. */
export function parseWorkerStatement(
  { status, byName }: Pick<ResponseHead, "status" | "byName">,
  names: Pick<HeaderNames, "workerLeaving">,
): WorkerStatement {
  const retryAfter =
    status === SERVICE_UNAVAILABLE ? parseDecimal(byName.get("retry-after")) : undefined;
  return {
    isLeaving: byName.get(names.workerLeaving)?.trim() === LEAVING,
    pause: (retryAfter ?? 0) * MS_PER_SECOND,
  };
}

/** What a response states about the load that a worker bears from all instances together. */
export interface WorkerTolerance {
  /** Requests per second that the worker accepts; undefined if it states no limit. */
  readonly limit: number | undefined;
  /** Requests per second that the worker can reject without ending; undefined if it isn't brittle. */
  readonly survives: number | undefined;
}

/** Parses the tolerance. A missing or malformed header states nothing. */
export function parseWorkerTolerance(
  { byName }: Pick<ResponseHead, "byName">,
  names: Pick<HeaderNames, "workerLimit" | "workerBrittleness">,
): WorkerTolerance {
  return {
    limit: parseDecimal(byName.get(names.workerLimit)),
    survives: parseDecimal(byName.get(names.workerBrittleness)),
  };
}

function parseDecimal(text: string | undefined): number | undefined {
  return text !== undefined && DECIMAL_PATTERN.test(text) ? Number(text) : undefined;
}
