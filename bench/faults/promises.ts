import { RequestState } from "../../src/interface/index.ts";
import type { EngineRun } from "../../src/standin/memory/index.ts";
import { keyedId } from "../../src/request/request_key.ts";
import { ACCOUNT } from "./caller.ts";
import type { Notes } from "./caller.ts";
import type { Scenario } from "./scenario.ts";

/** Records of the callers, the backend servers and the instances' configurations. */
export interface Evidence {
  readonly scenario: Scenario;
  readonly notes: readonly Notes[];
  readonly runs: readonly EngineRun[];
  /** Versions of the revision that each instance had in force, in order of time. */
  readonly versions: readonly (readonly number[])[];
}

/** Checks the guarantees; returns one message for each violation. */
export function brokenPromises(evidence: Evidence): string[] {
  const { notes, versions } = evidence;
  return [
    ...notes.flatMap((one) => ofOneCaller(one, evidence)),
    ...ofKeys(evidence),
    ...versions.flatMap((seen, index) =>
      seen.some((version, at) => version < (seen[at - 1] ?? 0))
        ? [`Instance ${index} returned to an earlier revision: ${seen.join(" ")}.`]
        : [],
    ),
  ];
}

function ofOneCaller(notes: Notes, { runs, scenario }: Evidence): string[] {
  const { id, request, tokens, ends, accepted } = notes;
  const own = runs.filter((run) => run.id === id && id !== "");
  const count = own.length;
  const broken: string[] = [];
  const report = (violation: string): void => {
    broken.push(`${id === "" ? (request.key ?? "A request") : id}: ${violation}`);
  };
  if (!request.repeatable) runsBeyondOne(own).forEach(report);
  if (tokens.some((token, index) => token !== `t${index} `)) {
    report(`the caller received the tokens ${tokens.join("")}.`);
  }
  const end = ends[0];
  if (end === RequestState.Complete && tokens.length > 0 && tokens.length !== request.tokens) {
    report(`the answer was reported complete with ${tokens.length} of ${request.tokens} tokens.`);
  }
  if (end === RequestState.NotRun && request.key === undefined && count > 0) {
    report(`the caller received "not run", but it ran.`);
  }
  if (accepted && end === undefined && deaths(scenario) === 0) {
    report(`it was accepted, but the caller received no final state (${notes.delays.join(", ")}).`);
  }
  return broken;
}

/**
 * Checks that a request ran only once. A run that is moved counts as one run: the next backend server resumes
 * after the received tokens, once the previous one has stopped the run. Anything else is a second run.
 */
function runsBeyondOne(runs: readonly EngineRun[]): string[] {
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

/** Checks that callers with the same key have the same request, on whichever instance they submit it. */
function ofKeys({ notes, runs }: Evidence): string[] {
  const keyed = notes.filter(({ request }) => request.key !== undefined);
  return keyed.flatMap(({ request, ends, endedAt, id }) => {
    const key = request.key ?? "";
    const expected = keyedId(ACCOUNT, key).id;
    const broken = id !== "" && id !== expected ? [`${key}: it received another id, ${id}.`] : [];
    // A key that was reported as not run may be submitted again, and may then run.
    const hadRun = runs.some((run) => run.id === expected && run.startedAt < endedAt);
    if (hadRun && ends[0] === RequestState.NotRun) {
      broken.push(`${key}: the caller received "not run", but it had run.`);
    }
    return broken;
  });
}

function deaths({ faults }: Scenario): number {
  return faults.filter(({ kind }) => kind === "kill" || kind === "freeze" || kind === "cut").length;
}
