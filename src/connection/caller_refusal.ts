import type { ServerResponse } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection } from "../request/index.ts";
import { sendJson } from "./http_body.ts";

/** The HTTP status for each reason for which a request is rejected. */
const HTTP_STATUSES: Readonly<Record<Refusal, number>> = {
  [Refusal.None]: 500,
  [Refusal.Unauthenticated]: 401,
  [Refusal.Forbidden]: 403,
  [Refusal.BadRequest]: 400,
  [Refusal.TooLarge]: 413,
  [Refusal.UnknownService]: 404,
  [Refusal.UnknownModel]: 404,
  [Refusal.UnknownRequest]: 404,
  [Refusal.KeyConflict]: 422,
  [Refusal.KeyExpired]: 410,
  [Refusal.HistoryLost]: 409,
  [Refusal.AccountLimit]: 429,
  [Refusal.QueueFull]: 429,
  [Refusal.TooLate]: 503,
  [Refusal.DeadlinePassed]: 504,
  [Refusal.NoBackendServer]: 503,
  [Refusal.EntryOverloaded]: 503,
  [Refusal.Draining]: 503,
  [Refusal.CutOff]: 503,
  [Refusal.OwnerUnavailable]: 503,
  [Refusal.StaleRoute]: 503,
  [Refusal.BackupUnavailable]: 503,
  [Refusal.BackendFailed]: 502,
  [Refusal.BackendLost]: 502,
  [Refusal.RetryBudget]: 503,
  [Refusal.CancelledByCaller]: 409,
};

const MIN_CLIENT_ERROR = 400;
const TOO_MANY_REQUESTS = 429;
const MIN_SERVER_ERROR = 500;
const SECOND = 1_000;

/** Returns the HTTP status for a reason. */
export function httpStatusOf(reason: Refusal): number {
  return HTTP_STATUSES[reason];
}

/**
 * Returns an error body in the format of the OpenAI API.
 *
 * `code` is the reason, `not_run` is true only if the request was certainly not run, and `request_id` is
 * present if the request has an id.
 */
export function errorBody(rejection: Rejection): object {
  const status = httpStatusOf(rejection.reason);
  return {
    error: {
      message: rejection.detail,
      type: errorType(status),
      param: null,
      code: rejection.reason,
      not_run: rejection.notRun,
      ...(rejection.id === undefined ? {} : { request_id: rejection.id }),
    },
  };
}

function errorType(status: number): string {
  if (status === TOO_MANY_REQUESTS) return "rate_limit_error";
  const isClientError = status >= MIN_CLIENT_ERROR && status < MIN_SERVER_ERROR;
  return isClientError ? "invalid_request_error" : "server_error";
}

/**
 * Sends an error response with the reason, whether the request was certainly not run, and `Retry-After`
 * if a later attempt may succeed.
 */
export function sendRejection(response: ServerResponse, rejection: Rejection): void {
  const { retryAfter, notRun, id, reason } = rejection;
  const headers: Record<string, string> = {};
  if (retryAfter !== undefined) {
    headers["retry-after"] = String(Math.max(1, Math.ceil(retryAfter / SECOND)));
  }
  if (id !== undefined) headers["x-request-id"] = id;
  // The OpenAI clients retry on their own; a retry would run the request again under another id.
  if (!notRun) headers["x-should-retry"] = "false";
  if (reason === Refusal.TooLarge || reason === Refusal.Draining) headers["connection"] = "close";
  sendJson(response, errorBody(rejection), { status: httpStatusOf(reason), headers });
}
