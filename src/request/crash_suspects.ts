import type { WorkerEndpoint } from "../interface/index.ts";
import type { RoutedService } from "../version/index.ts";
import { fingerprintPart } from "./request_fingerprint.ts";
import type { RequestFingerprint } from "./request_fingerprint.ts";
import { sharedParts } from "./routed_arrival.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { RoutedContext } from "./routed_context.ts";

/** A run of a request at a worker. */
interface SuspectRun extends Pick<Attempt, "firstEventAt"> {
  readonly worker: WorkerEndpoint;
}

/** What may crash the workers that run a request: the request itself, or a part of its prompt that others share. */
export interface CrashSuspects {
  /** Returns the milliseconds after which the request may be sent to a worker; 0 if it may be sent now. */
  remainingTime(): number;
  /** Records that the worker has delivered events. */
  recordEvents(run: SuspectRun): void;
  /** Records that the worker has answered completely. */
  recordAnswer(): void;
  /** Reports that the connection to the worker broke during the run. */
  reportBrokenConnection(run: SuspectRun): void;
}

/**
 * Milliseconds after the first event after which a part of the prompt isn't the cause of a crash: such a part crashes a
 * worker as soon as it begins to answer. The request itself may crash it at any time before the end of its answer.
 */
const ANSWERING_TIME = 300;

/** Creates the suspects of a request. */
export function createCrashSuspects(
  {
    clock,
    quarantine,
    partQuarantine,
    checks,
  }: Pick<RoutedContext, "clock" | "quarantine" | "partQuarantine" | "checks">,
  {
    arrival,
    service,
    fingerprint,
  }: {
    readonly arrival: Pick<RoutedArrival, "promptParts">;
    readonly service: Pick<RoutedService, "name">;
    readonly fingerprint: RequestFingerprint;
  },
): CrashSuspects {
  const parts = sharedParts(arrival).map((id) => fingerprintPart(service.name, id));
  let haveAnswer = false;
  let hasBroken = false;

  const recordPartAnswers = (): void => {
    if (haveAnswer) return;
    haveAnswer = true;
    for (const part of parts) partQuarantine.recordAnswer(part);
  };
  const isAnswering = ({ firstEventAt = Infinity }: SuspectRun): boolean =>
    clock.now() - firstEventAt >= ANSWERING_TIME;
  /**
   * Returns what may have crashed a worker that had been answering. A long stream may lose several workers to others, and
   * goes on at the next one each time, so that only its first loss counts; a request that crashes workers comes again.
   */
  const lateSuspects = (): RequestFingerprint[] => (hasBroken ? [] : [fingerprint]);
  return {
    remainingTime: () =>
      parts.reduce(
        (longest, part) => Math.max(longest, partQuarantine.remainingTime(part)),
        quarantine.remainingTime(fingerprint),
      ),
    recordEvents: (run) => {
      if (isAnswering(run)) recordPartAnswers();
    },
    recordAnswer: () => {
      quarantine.recordAnswer(fingerprint);
      recordPartAnswers();
    },
    reportBrokenConnection: (run) => {
      const suspects = isAnswering(run) ? lateSuspects() : [fingerprint, ...parts];
      hasBroken = true;
      checks.reportBrokenConnection(run.worker, suspects);
    },
  };
}
