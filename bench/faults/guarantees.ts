/**
 * Checks the guarantees of the product against the records of a fault scenario: a request that is not repeatable runs
 * only once, answers are correct and complete, "not run" is true, accepted requests get a final state, and the revision
 * in force is never replaced by an earlier one.
 *
 * @module
 */
import { RequestState } from "../../src/interface/index.ts";
import type { EngineRun } from "../../src/standin/memory/index.ts";
import { requestIdForKey } from "../../src/request/request_key.ts";
import { ACCOUNT } from "./caller.ts";
import type { CallerLog } from "./caller.ts";
import type { Scenario } from "./scenario.ts";

/** Records of the callers, the backend servers and the instances' configurations. */
export interface Evidence {
  readonly scenario: Scenario;
  readonly callerLogs: readonly CallerLog[];
  readonly runs: readonly EngineRun[];
  /** Versions of the revision that each instance had in force, in order of time. */
  readonly versions: readonly (readonly number[])[];
}

/** Checks the guarantees; returns one message for each violation. */
export function findViolations(evidence: Evidence): string[] {
  const { callerLogs, versions } = evidence;
  return [
    ...callerLogs.flatMap((log) => checkCaller(log, evidence)),
    ...checkKeys(evidence),
    ...versions.flatMap((seen, index) =>
      seen.some((version, at) => version < (seen[at - 1] ?? 0))
        ? [`Instance ${index} returned to an earlier revision: ${seen.join(" ")}.`]
        : [],
    ),
  ];
}

function checkCaller(log: CallerLog, { runs, scenario }: Evidence): string[] {
  const { id, request, tokens, finalStates, accepted } = log;
  const own = runs.filter((run) => run.id === id && id !== "");
  const count = own.length;
  const violations: string[] = [];
  const report = (violation: string): void => {
    violations.push(`${id === "" ? (request.key ?? "A request") : id}: ${violation}`);
  };
  if (!request.repeatable) checkSingleRun(own).forEach(report);
  if (tokens.some((token, index) => token !== `t${index} `)) {
    report(`the caller received the tokens ${tokens.join("")}.`);
  }
  const end = finalStates[0];
  if (end === RequestState.Complete && tokens.length > 0 && tokens.length !== request.tokens) {
    report(`the answer was reported complete with ${tokens.length} of ${request.tokens} tokens.`);
  }
  if (end === RequestState.NotRun && request.key === undefined && count > 0) {
    report(`the caller received "not run", but it ran.`);
  }
  if (accepted && end === undefined && countDisruptions(scenario) === 0) {
    report(
      `it was accepted, but the caller received no final state (${log.interruptions.join(", ")}).`,
    );
  }
  return violations;
}

/**
 * Checks that a request ran only once. A run that is moved counts as one run: the next backend server resumes
 * after the received tokens, once the previous one has stopped the run. Anything else is a second run.
 */
function checkSingleRun(runs: readonly EngineRun[]): string[] {
  const startedRuns = runs.filter((run) => run.resumedFrom === 0).length;
  const repeated = startedRuns > 1 ? [`ran ${startedRuns} times, but it is not repeatable.`] : [];
  const overlaps = runs.slice(1).flatMap((run, index) => {
    const previous = runs[index];
    const stopped = previous?.cancelledAt !== undefined && previous.cancelledAt <= run.startedAt;
    if (stopped) return [];
    return [`resumed on ${run.worker} before ${previous?.worker ?? "?"} had stopped it.`];
  });
  return [...repeated, ...overlaps];
}

/**
 * Checks that a key has the same request id on every instance, and that a key reported as not run had not run when its
 * caller's last connection ended.
 */
function checkKeys({ callerLogs, runs }: Evidence): string[] {
  const keyed = callerLogs.filter(({ request }) => request.key !== undefined);
  return keyed.flatMap(({ request, finalStates, endedAt, id }) => {
    const key = request.key ?? "";
    const expected = requestIdForKey(ACCOUNT, key).id;
    const violations =
      id !== "" && id !== expected ? [`${key}: it received another id, ${id}.`] : [];
    // A key that was reported as not run may be submitted again, and may then run.
    const hadRun = runs.some((run) => run.id === expected && run.startedAt < endedAt);
    if (hadRun && finalStates[0] === RequestState.NotRun) {
      violations.push(`${key}: the caller received "not run", but it had run.`);
    }
    return violations;
  });
}

/** Counts the faults that excuse an accepted request without a final state. */
function countDisruptions({ faults }: Scenario): number {
  return faults.filter(({ kind }) => kind === "kill" || kind === "freeze" || kind === "cut").length;
}
