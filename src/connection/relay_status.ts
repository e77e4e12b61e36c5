import { DialFailure } from "../interface/index.ts";

/** HTTP status with which an instance answers that it relays the connection. */
export const RELAY_ESTABLISHED = 200;
/** HTTP status with which it answers that it knows no worker at the address. */
export const RELAY_UNKNOWN_WORKER = 404;

/** HTTP status with which an instance answers that it could not open the connection. */
export const RELAY_STATUS_BY_FAILURE: Readonly<Record<DialFailure, number>> = {
  [DialFailure.Refused]: 502,
  [DialFailure.Unanswered]: 504,
  [DialFailure.NoPath]: 503,
};

/** Returns what an answer says about the worker; undefined if it says nothing, so that another relay may be tried. */
export function workerFailureOf(status: number | undefined): DialFailure | undefined {
  return [DialFailure.Refused, DialFailure.Unanswered].find(
    (failure) => RELAY_STATUS_BY_FAILURE[failure] === status,
  );
}
