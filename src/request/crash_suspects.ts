import { fingerprintPart } from "./request_fingerprint.ts";
import type { RequestFingerprint } from "./request_fingerprint.ts";
import { sharedParts } from "./routed_arrival.ts";
import type { AdmittedRequest } from "./routed_run.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { RoutedContext } from "./routed_context.ts";

/** What may crash the workers that run a request: the request itself, or a part of its prompt that others share. */
export interface CrashSuspects {
  /** Returns the milliseconds after which the request may be sent to a worker; 0 if it may be sent now. */
  remainingTime(): number;
  /** Records that the worker has delivered events. */
  recordEvents(attempt: Attempt): void;
  /** Records that the worker has answered completely. */
  recordAnswer(): void;
  /** Reports that the connection to the worker broke during the run. */
  reportBrokenConnection(attempt: Attempt): void;
}

/**
 * Milliseconds after the first event after which the parts of the prompt have not crashed the worker. One that does
 * crashes it as soon as it begins to answer.
 */
const ANSWERING_TIME = 300;

/** Creates the suspects of a request. */
export function createCrashSuspects(
  { clock, quarantine, partQuarantine, checks }: RoutedContext,
  { arrival, service, fingerprint }: Pick<AdmittedRequest, "arrival" | "service" | "fingerprint">,
): CrashSuspects {
  const parts = sharedParts(arrival).map((id) => fingerprintPart(service.name, id));
  let haveAnswer = false;

  const recordPartAnswers = (): void => {
    if (haveAnswer) return;
    haveAnswer = true;
    for (const part of parts) partQuarantine.recordAnswer(part);
  };
  const isAnswering = ({ firstEventAt = Infinity }: Attempt): boolean =>
    clock.now() - firstEventAt >= ANSWERING_TIME;
  return {
    remainingTime: () =>
      parts.reduce(
        (longest, part) => Math.max(longest, partQuarantine.remainingTime(part)),
        quarantine.remainingTime(fingerprint),
      ),
    recordEvents: (attempt) => {
      if (isAnswering(attempt)) recordPartAnswers();
    },
    recordAnswer: () => {
      quarantine.recordAnswer(fingerprint);
      recordPartAnswers();
    },
    reportBrokenConnection: (attempt) => {
      const suspects: RequestFingerprint[] = [fingerprint];
      if (!isAnswering(attempt)) suspects.push(...parts);
      checks.reportBrokenConnection(attempt.worker, suspects);
    },
  };
}
