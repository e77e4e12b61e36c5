/**
 * Callers of the soak test that lose their connection in the middle of a stream and take it up again.
 *
 * @module
 */
import { wholeStream } from "../../platform/testing/worker_standin.ts";

/** Versions of the software of the backend servers. Their streams differ. */
export const VERSIONS = ["v1", "v2"] as const;
/** Share of the streams whose connection a caller closes after its first events. */
export const BREAK_RATIO = 0.3;
/** Number of events after which it does. */
export const EVENTS_BEFORE_BREAK = 2;

const LAST_EVENT_ID = /.*^id: (\d+)$/ms;
const EVENT_END = "\n\n";

/** The part of a stream that a caller has received. */
export interface StreamPart {
  /** Id of the attempt that brought the first event. */
  readonly attempt: string;
  /** The complete events of all attempts. */
  readonly text: string;
  /** Id of the last complete event. */
  readonly lastEventId: string;
}

/** Returns the request headers with which a caller asks for the rest of a stream. */
export function resumptionHeaders(part: StreamPart | undefined): Record<string, string> {
  return part === undefined ? {} : { "Last-Event-Id": part.lastEventId, Resumes: part.attempt };
}

/** Returns the complete events of a response; the caller discards an incomplete one. */
export function completeEvents(body: string): string {
  const end = body.lastIndexOf(EVENT_END);
  return end < 0 ? "" : body.slice(0, end + EVENT_END.length);
}

/**
 * Returns what a caller has after an attempt that didn't bring the whole stream; undefined if it has no event.
 *
 * @param previous The part that it had before.
 */
export function partAfter(
  { id, body }: { readonly id: string; readonly body: string },
  previous: StreamPart | undefined,
): StreamPart | undefined {
  const events = completeEvents(body);
  const lastEventId = LAST_EVENT_ID.exec(events)?.[1];
  if (lastEventId === undefined) return previous;
  return {
    attempt: previous?.attempt ?? id,
    text: (previous?.text ?? "") + events,
    lastEventId,
  };
}

/** Whether a stream, or the part of it that was received, has events of one version only, each once and in order. */
export function isOfOneVersion(text: string, { isWhole }: { isWhole: boolean }): boolean {
  return VERSIONS.some((version) => {
    const whole = wholeStream(0, version);
    return isWhole ? text === whole : whole.startsWith(text);
  });
}
