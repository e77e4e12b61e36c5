import { ErrandEnd } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";

/** Number of times that a backend server started a request, from the backend server's own record. */
export interface RecordedRuns {
  /** Request id. */
  readonly id: string;
  readonly worker: string;
  readonly count: number;
}

/** A reclaimed backend server, from its own record. */
export interface LeavingServer {
  readonly worker: string;
  /** Number of requests that it had started by {@linkcode LEAVING_BOUND} after its reclaim notice. */
  readonly begunByBound: number;
  /** Number of requests that it had started by the end of the run. */
  readonly begunAtEnd: number;
}

/** Records of a run, kept by the callers and the backend servers independently of the entry instances. */
export interface Evidence {
  readonly errands: readonly ErrandRecord[];
  readonly runs: readonly RecordedRuns[];
  readonly leaving: readonly LeavingServer[];
  /** Milliseconds from the acceptance of the preset until it was in force, one value for each entry instance. */
  readonly presetDelays: readonly number[];
  /** Distinct presets in force on the entry instances after the switch; more than one means that one reverted. */
  readonly presetsAfterSwitch: readonly string[];
}

/** Result of checking one guarantee; `--json` prints it under these field names. */
export interface PromiseCheck {
  /** The guarantee in words. */
  readonly promise: string;
  readonly held: boolean;
  /** The counts that the check is based on. */
  readonly detail: string;
}

/** Milliseconds after its reclaim notice during which a backend server may still receive new requests. */
export const LEAVING_BOUND = 3_000;
/** Maximum time from the acceptance of a preset until it is in force on every entry instance, in milliseconds. */
const IN_FORCE_BOUND = 5_000;

/** Checks each guarantee against the records of a run. */
export function checkPromises(evidence: Evidence): PromiseCheck[] {
  return [
    acceptedSurvive(evidence),
    wholeAnswers(evidence),
    notRunIsTrue(evidence),
    atMostOnce(evidence),
    leavingGetNothing(evidence),
    inForceInTime(evidence),
  ];
}

function acceptedSurvive({ errands }: Evidence): PromiseCheck {
  const lost = errands.filter(
    ({ id, end }) => id !== "" && end !== ErrandEnd.Complete && end !== ErrandEnd.NotRun,
  );
  const accepted = errands.filter(({ id }) => id !== "").length;
  return check("accepted requests survive every announced reclaim", lost.length, {
    detail: `${accepted} accepted, ${lost.length} without a response`,
  });
}

function wholeAnswers({ errands }: Evidence): PromiseCheck {
  const complete = errands.filter(({ end }) => end === ErrandEnd.Complete);
  const wrong = complete.filter((record) => !isWhole(record));
  const [first] = wrong;
  const example = first === undefined ? "" : `, such as ${describeAnswer(first)}`;
  return check("each caller gets its own whole answer, each token once", wrong.length, {
    detail: `${complete.length} responses, ${wrong.length} incomplete or wrong${example}`,
  });
}

function describeAnswer({ errand, id, tokens, reconnects }: ErrandRecord): string {
  const at = tokens.findIndex(({ text }, index) => numberOf(text) !== index);
  const place = at < 0 ? "" : `, the first wrong one at index ${at}: "${tokens[at]?.text ?? ""}"`;
  const got = `${tokens.length} of ${errand.answerTokens} tokens${place}`;
  return `${id} (${errand.service}, ${reconnects} reconnects) with ${got}`;
}

/** Whether the response has every token once and in order: the stand-ins number the words from 0. */
function isWhole({ errand, tokens }: ErrandRecord): boolean {
  if (tokens.length !== errand.answerTokens) return false;
  return tokens.every(({ text }, index) => numberOf(text) === index);
}

function numberOf(text: string): number {
  return Number(/\d+/.exec(text)?.[0]);
}

function notRunIsTrue({ errands, runs }: Evidence): PromiseCheck {
  const ran = new Set(runs.map((run) => run.id));
  const told = errands.filter(({ end }) => end === ErrandEnd.NotRun);
  const untrue = told.filter(({ id }) => ran.has(id)).length;
  return check('"not run" is said only where it is true', untrue, {
    detail: `${told.length} reported as not run, ${untrue} of them had run`,
  });
}

function atMostOnce({ errands, runs }: Evidence): PromiseCheck {
  const counts = new Map<string, number>();
  for (const { id, count } of runs) counts.set(id, (counts.get(id) ?? 0) + count);
  const once = errands.filter(({ errand }) => !errand.repeatable);
  const twice = once.filter(({ id }) => (counts.get(id) ?? 0) > 1).length;
  return check("what may not be repeated runs at most once", twice, {
    detail: `${once.length} such requests, ${twice} run more than once`,
  });
}

function leavingGetNothing({ leaving }: Evidence): PromiseCheck {
  const late = leaving.reduce((sum, server) => sum + server.begunAtEnd - server.begunByBound, 0);
  return check("a leaving backend server gets no new work after 3 s", late, {
    detail: `${leaving.length} reclaimed, ${late} late dispatches`,
  });
}

function inForceInTime({ presetDelays, presetsAfterSwitch }: Evidence): PromiseCheck {
  const late = presetDelays.filter((delay) => delay > IN_FORCE_BOUND).length;
  const reverted = presetsAfterSwitch.length > 1 ? 1 : 0;
  const slowest = Math.max(0, ...presetDelays);
  const held = late + reverted;
  return check("an accepted preset is in force everywhere within 5 s and never reverts", held, {
    detail: `${presetDelays.length} instances, slowest after ${Math.round(slowest)} ms`,
  });
}

function check(promise: string, violations: number, { detail }: { detail: string }): PromiseCheck {
  return { promise, held: violations === 0, detail };
}
