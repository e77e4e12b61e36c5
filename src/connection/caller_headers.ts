import type { IncomingMessage } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection, Submission } from "../request/index.ts";
import { duration } from "../version/index.ts";

/** Options that a caller sets in the headers of its request. */
export type CallerWishes = Pick<Submission, "detached" | "key" | "repeatable" | "deadline">;

/** Maximum length of an `Idempotency-Key`, in characters. */
const LONGEST_KEY = 255;
/** Maximum deadline that a caller may set, in milliseconds: one day. */
const LONGEST_DEADLINE = 86_400_000;

/**
 * Parses `Idempotency-Key`, `X-Samphireshore-Repeat`, `X-Samphireshore-Deadline` and `Prefer`.
 *
 * @returns The options, or a rejection if a header has an invalid value.
 */
export function callerWishes(request: IncomingMessage): CallerWishes | Rejection {
  const key = header(request, "idempotency-key");
  if (key !== undefined && (key === "" || key.length > LONGEST_KEY)) {
    return bad(
      `Found an Idempotency-Key of ${key.length} characters, expected 1 to ${LONGEST_KEY}.`,
    );
  }
  const repeat = header(request, "x-samphireshore-repeat");
  if (repeat !== undefined && repeat !== "never" && repeat !== "allowed") {
    return bad(`Found X-Samphireshore-Repeat "${repeat}", expected "never" or "allowed".`);
  }
  const deadline = deadlineOf(header(request, "x-samphireshore-deadline"));
  if (typeof deadline === "string") return bad(deadline);
  const prefer = header(request, "prefer") ?? "";
  return {
    detached: prefer.split(",").some((wish) => wish.trim() === "respond-async"),
    ...(key === undefined ? {} : { key }),
    ...(repeat === undefined ? {} : { repeatable: repeat === "allowed" }),
    ...(deadline === undefined ? {} : { deadline }),
  };
}

/** Parses a deadline; returns milliseconds, an error text, or undefined without the header. */
function deadlineOf(text: string | undefined): number | string | undefined {
  if (text === undefined) return undefined;
  const parsed = duration.safeParse(text);
  if (!parsed.success) {
    return `Found X-Samphireshore-Deadline "${text}", expected a duration such as "30s".`;
  }
  if (parsed.data > 0 && parsed.data <= LONGEST_DEADLINE) return parsed.data;
  return `Found X-Samphireshore-Deadline "${text}", expected more than 0 and at most one day.`;
}

/**
 * Returns the index of the first token to send to a caller that resumes a stream.
 *
 * @returns The index in `Last-Event-ID` plus 1; 0 if the header is missing or isn't an index.
 */
export function firstTokenWanted(request: IncomingMessage): number {
  const last = header(request, "last-event-id") ?? "";
  return /^\d{1,9}$/.test(last) ? Number(last) + 1 : 0;
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" ? value : value?.[0];
}

function bad(detail: string): Rejection {
  return { reason: Refusal.BadRequest, notRun: true, detail };
}
