import { RequestOutcome } from "./caller.ts";
import type { RequestResult } from "./caller.ts";

/** Number of times that a backend server started a request, from the backend server's own record. */
export interface RunCount {
  /** Request id. */
  readonly requestId: string;
  readonly worker: string;
  readonly count: number;
}

/** A reclaimed backend server, from its own record. */
export interface ReclaimedServer {
  readonly worker: string;
  /** Number of requests that it had started {@linkcode MAX_DISPATCH_TIME_AFTER_NOTICE} after its reclaim notice. */
  readonly startedBeforeLimit: number;
  /** Number of requests that it had started by the end of the run. */
  readonly startedAtEnd: number;
}

/**
 * Records of a run. Requests are recorded by the callers and the backend servers, independently of the entry
 * instances; the presets are read from the entry instances.
 */
export interface RunRecords {
  /** Results of all requests, as their callers observed them. */
  readonly results: readonly RequestResult[];
  /** Numbers of runs by request and worker, from the backend servers. */
  readonly runCounts: readonly RunCount[];
  /** Backend servers that the scenario reclaimed. */
  readonly reclaimedServers: readonly ReclaimedServer[];
  /** Milliseconds from the acceptance of the preset until it was in force, one value for each entry instance. */
  readonly presetDelays: readonly number[];
  /** Distinct presets in force on the entry instances after the switch; more than one means that one reverted. */
  readonly presetsAfterSwitch: readonly string[];
}

/** Result of checking one guarantee; `--json` prints it under these field names. */
export interface GuaranteeCheck {
  /** The guarantee in words. */
  readonly promise: string;
  readonly held: boolean;
  /** The counts that the check is based on. */
  readonly detail: string;
}

/** Milliseconds after its reclaim notice during which a backend server may still receive new requests. */
export const MAX_DISPATCH_TIME_AFTER_NOTICE = 3_000;
/** Maximum time from the acceptance of a preset until it is in force on every entry instance, in milliseconds. */
const MAX_PRESET_DELAY = 5_000;

/** Checks each guarantee against the records of a run. */
export function checkGuarantees(records: RunRecords): GuaranteeCheck[] {
  return [
    checkAcceptedRequests(records),
    checkResponses(records),
    checkNotRunReports(records),
    checkAtMostOnce(records),
    checkReclaimedServers(records),
    checkPresetSwitch(records),
  ];
}

function checkAcceptedRequests({ results }: RunRecords): GuaranteeCheck {
  const lost = results.filter(
    ({ requestId, outcome }) =>
      requestId !== "" && outcome !== RequestOutcome.Complete && outcome !== RequestOutcome.NotRun,
  );
  const accepted = results.filter(({ requestId }) => requestId !== "").length;
  return createCheck("accepted requests survive every announced reclaim", lost.length, {
    detail: `${accepted} accepted, ${lost.length} without a response`,
  });
}

function checkResponses({ results }: RunRecords): GuaranteeCheck {
  const complete = results.filter(({ outcome }) => outcome === RequestOutcome.Complete);
  const wrong = complete.filter((record) => !isCompleteResponse(record));
  const [first] = wrong;
  const example = first === undefined ? "" : `, such as ${describeResponse(first)}`;
  return createCheck("each caller gets its own whole answer, each token once", wrong.length, {
    detail: `${complete.length} responses, ${wrong.length} incomplete or wrong${example}`,
  });
}

function describeResponse({ loadRequest, requestId, tokens, reconnects }: RequestResult): string {
  const wrongIndex = tokens.findIndex(({ text }, index) => parseWordNumber(text) !== index);
  const wrongToken =
    wrongIndex < 0
      ? ""
      : `, the first wrong one at index ${wrongIndex}: "${tokens[wrongIndex]?.text ?? ""}"`;
  const received = `${tokens.length} of ${loadRequest.responseTokens} tokens${wrongToken}`;
  return `${requestId} (${loadRequest.service}, ${reconnects} reconnects) with ${received}`;
}

/** Whether the response has every token once and in order: the stand-ins number the words from 0. */
function isCompleteResponse({ loadRequest, tokens }: RequestResult): boolean {
  if (tokens.length !== loadRequest.responseTokens) return false;
  return tokens.every(({ text }, index) => parseWordNumber(text) === index);
}

function parseWordNumber(text: string): number {
  return Number(/\d+/.exec(text)?.[0]);
}

function checkNotRunReports({ results, runCounts }: RunRecords): GuaranteeCheck {
  const startedIds = new Set(runCounts.map((run) => run.requestId));
  const reported = results.filter(({ outcome }) => outcome === RequestOutcome.NotRun);
  const falseReports = reported.filter(({ requestId }) => startedIds.has(requestId)).length;
  return createCheck('"not run" is said only where it is true', falseReports, {
    detail: `${reported.length} reported as not run, ${falseReports} of them had run`,
  });
}

function checkAtMostOnce({ results, runCounts }: RunRecords): GuaranteeCheck {
  const counts = new Map<string, number>();
  for (const { requestId, count } of runCounts)
    counts.set(requestId, (counts.get(requestId) ?? 0) + count);
  const atMostOnce = results.filter(({ loadRequest }) => !loadRequest.isRepeatable);
  const repeated = atMostOnce.filter(({ requestId }) => (counts.get(requestId) ?? 0) > 1).length;
  return createCheck("what may not be repeated runs at most once", repeated, {
    detail: `${atMostOnce.length} such requests, ${repeated} run more than once`,
  });
}

function checkReclaimedServers({ reclaimedServers }: RunRecords): GuaranteeCheck {
  const late = reclaimedServers.reduce(
    (sum, server) => sum + server.startedAtEnd - server.startedBeforeLimit,
    0,
  );
  return createCheck("a leaving backend server gets no new work after 3 s", late, {
    detail: `${reclaimedServers.length} reclaimed, ${late} late dispatches`,
  });
}

function checkPresetSwitch({ presetDelays, presetsAfterSwitch }: RunRecords): GuaranteeCheck {
  const late = presetDelays.filter((delay) => delay > MAX_PRESET_DELAY).length;
  const reverted = presetsAfterSwitch.length > 1 ? 1 : 0;
  const slowest = Math.max(0, ...presetDelays);
  const violations = late + reverted;
  return createCheck(
    "an accepted preset is in force everywhere within 5 s and never reverts",
    violations,
    {
      detail: `${presetDelays.length} instances, slowest after ${Math.round(slowest)} ms`,
    },
  );
}

function createCheck(
  promise: string,
  violations: number,
  { detail }: { detail: string },
): GuaranteeCheck {
  return { promise, held: violations === 0, detail };
}
