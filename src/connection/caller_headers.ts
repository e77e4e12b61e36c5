import type { IncomingMessage } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection, Submission } from "../request/index.ts";
import { duration } from "../version/index.ts";

/** Options that a caller sets in the headers of its request. */
export type CallerOptions = Pick<Submission, "detached" | "key" | "repeatable" | "deadline">;

/** Maximum length of an `Idempotency-Key`, in characters. */
const MAX_KEY_LENGTH = 255;
/** Maximum deadline that a caller may set, in milliseconds: one day. */
const MAX_DEADLINE = 86_400_000;

/**
 * Parses `Idempotency-Key`, `X-Samphireshore-Repeat`, `X-Samphireshore-Deadline` and `Prefer`.
 *
 * @returns The options, or a rejection if a header has an invalid value.
 */
export function parseCallerOptions(request: IncomingMessage): CallerOptions | Rejection {
  const key = headerValue(request, "idempotency-key");
  if (key !== undefined && (key === "" || key.length > MAX_KEY_LENGTH)) {
    return badRequest(
      `Found an Idempotency-Key of ${key.length} characters, expected 1 to ${MAX_KEY_LENGTH}.`,
    );
  }
  const repeat = headerValue(request, "x-samphireshore-repeat");
  if (repeat !== undefined && repeat !== "never" && repeat !== "allowed") {
    return badRequest(`Found X-Samphireshore-Repeat "${repeat}", expected "never" or "allowed".`);
  }
  const deadline = parseDeadline(headerValue(request, "x-samphireshore-deadline"));
  if (typeof deadline === "string") return badRequest(deadline);
  const prefer = headerValue(request, "prefer") ?? "";
  return {
    detached: prefer.split(",").some((preference) => preference.trim() === "respond-async"),
    ...(key === undefined ? {} : { key }),
    ...(repeat === undefined ? {} : { repeatable: repeat === "allowed" }),
    ...(deadline === undefined ? {} : { deadline }),
  };
}

/** Parses a deadline; returns milliseconds, an error text, or undefined without the header. */
function parseDeadline(text: string | undefined): number | string | undefined {
  if (text === undefined) return undefined;
  const parsed = duration.safeParse(text);
  if (!parsed.success) {
    return `Found X-Samphireshore-Deadline "${text}", expected a duration such as "30s".`;
  }
  if (parsed.data > 0 && parsed.data <= MAX_DEADLINE) return parsed.data;
  return `Found X-Samphireshore-Deadline "${text}", expected more than 0 and at most one day.`;
}

/**
 * Returns the index of the first token to send to a caller that resumes a stream.
 *
 * @returns The index in `Last-Event-ID` plus 1; 0 if the header is missing or isn't an index.
 */
export function firstRequestedToken(request: IncomingMessage): number {
  const lastEventId = headerValue(request, "last-event-id") ?? "";
  return /^\d{1,9}$/.test(lastEventId) ? Number(lastEventId) + 1 : 0;
}

function headerValue(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" ? value : value?.[0];
}

function badRequest(detail: string): Rejection {
  return { reason: Refusal.BadRequest, notRun: true, detail };
}
