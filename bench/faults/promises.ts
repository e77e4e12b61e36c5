import { RequestState } from "../../src/interface/index.ts";
import type { EngineRun } from "../../src/standin/memory/index.ts";
import { requestIdForKey } from "../../src/request/request_key.ts";
import { ACCOUNT } from "./caller.ts";
import type { Notes } from "./caller.ts";
import type { Scenario } from "./scenario.ts";

/** What the callers, the backend servers and the instances' configuration showed. */
export interface Evidence {
  readonly scenario: Scenario;
  readonly notes: readonly Notes[];
  readonly runs: readonly EngineRun[];
  /** Versions of the revision as each instance had them in force, in order of time. */
  readonly versions: readonly (readonly number[])[];
}

/** Checks the promises; returns each broken one in a sentence. */
export function brokenPromises(evidence: Evidence): string[] {
  const { notes, versions } = evidence;
  return [
    ...notes.flatMap((one) => ofOneCaller(one, evidence)),
    ...ofKeys(evidence),
    ...versions.flatMap((seen, index) =>
      seen.some((version, at) => version < (seen[at - 1] ?? 0))
        ? [`Instance ${index} went back to an earlier revision: ${seen.join(" ")}.`]
        : [],
    ),
  ];
}

function ofOneCaller(notes: Notes, { runs, scenario }: Evidence): string[] {
  const { id, demand, tokens, ends, accepted } = notes;
  const own = runs.filter((run) => run.id === id && id !== "");
  const count = own.length;
  const broken: string[] = [];
  const say = (found: string): void => {
    broken.push(`${id === "" ? (demand.key ?? "A request") : id}: ${found}`);
  };
  if (!demand.repeatable) runsBeyondOne(own).forEach(say);
  if (tokens.some((token, index) => token !== `t${index} `)) {
    say(`the caller got the tokens ${tokens.join("")}.`);
  }
  const end = ends[0];
  if (end === RequestState.Complete && tokens.length > 0 && tokens.length !== demand.tokens) {
    say(`the answer ended whole with ${tokens.length} of ${demand.tokens} tokens.`);
  }
  if (end === RequestState.NotRun && demand.key === undefined && count > 0) {
    say(`the caller was told "not run", and it ran.`);
  }
  if (accepted && end === undefined && deaths(scenario) === 0) {
    say(`it was accepted, and the caller got no end (${notes.delays.join(", ")}).`);
  }
  return broken;
}

/**
 * A run that is moved is one run: the next server goes on from the tokens that were had, after the one
 * before has stopped it. Anything else is a second run.
 */
function runsBeyondOne(runs: readonly EngineRun[]): string[] {
  const begun = runs.filter((run) => run.resumedFrom === 0).length;
  const twice = begun > 1 ? [`ran ${begun} times, though it may not be repeated.`] : [];
  const overlaps = runs.slice(1).flatMap((run, index) => {
    const before = runs[index];
    const stopped = before?.cancelledAt !== undefined && before.cancelledAt <= run.startedAt;
    if (stopped) return [];
    return [`went on at ${run.worker}, though ${before?.worker ?? "?"} had not stopped it.`];
  });
  return [...twice, ...overlaps];
}

/** Callers with the same key have the same request, wherever they bring it. */
function ofKeys({ notes, runs }: Evidence): string[] {
  const keyed = notes.filter(({ demand }) => demand.key !== undefined);
  return keyed.flatMap(({ demand, ends, endedAt, id }) => {
    const key = demand.key ?? "";
    const expected = requestIdForKey(ACCOUNT, key).id;
    const broken = id !== "" && id !== expected ? [`${key}: it was given another id, ${id}.`] : [];
    // A key that was certainly not run may be brought again, and then runs.
    const hadRun = runs.some((run) => run.id === expected && run.startedAt < endedAt);
    if (hadRun && ends[0] === RequestState.NotRun) {
      broken.push(`${key}: the caller was told "not run", and it had run.`);
    }
    return broken;
  });
}

function deaths({ faults }: Scenario): number {
  return faults.filter(({ kind }) => kind === "kill" || kind === "freeze" || kind === "cut").length;
}
