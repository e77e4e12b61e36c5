import { ErrandEnd } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";

/** How often a request was begun, as a backend server itself recorded it. */
export interface RecordedRuns {
  readonly id: string;
  readonly worker: string;
  readonly count: number;
}

/** A backend server that was taken back, by its own record. */
export interface LeavingServer {
  readonly worker: string;
  /** Requests that it had begun by {@linkcode LEAVING_BOUND} after its notice, and at its end. */
  readonly begunByBound: number;
  readonly begunAtEnd: number;
}

/** What happened, from the callers' and the backend servers' own records. */
export interface Evidence {
  readonly errands: readonly ErrandRecord[];
  readonly runs: readonly RecordedRuns[];
  readonly leaving: readonly LeavingServer[];
  /** Milliseconds from the preset's acceptance until each entry instance had it in force. */
  readonly presetDelays: readonly number[];
  /** Presets that an entry instance showed after the switch, in order, each once. */
  readonly presetsAfterSwitch: readonly string[];
}

/** One promise and whether it held. */
export interface PromiseCheck {
  readonly promise: string;
  readonly held: boolean;
  /** What was counted. */
  readonly detail: string;
}

/** How long after its notice a backend server may still receive new work, in milliseconds. */
export const LEAVING_BOUND = 3_000;
/** How long an accepted preset may take to be in force everywhere, in milliseconds. */
const IN_FORCE_BOUND = 5_000;

/** Checks each promise against the evidence. */
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
    detail: `${accepted} accepted, ${lost.length} without an answer`,
  });
}

function wholeAnswers({ errands }: Evidence): PromiseCheck {
  const complete = errands.filter(({ end }) => end === ErrandEnd.Complete);
  const wrong = complete.filter((record) => !isWhole(record));
  const [first] = wrong;
  const example = first === undefined ? "" : `, such as ${describeAnswer(first)}`;
  return check("each caller gets its own whole answer, each token once", wrong.length, {
    detail: `${complete.length} answers, ${wrong.length} not whole${example}`,
  });
}

function describeAnswer({ errand, id, tokens, reconnects }: ErrandRecord): string {
  const at = tokens.findIndex(({ text }, index) => numberOf(text) !== index);
  const place = at < 0 ? "" : `, the first wrong one at ${at}: "${tokens[at]?.text ?? ""}"`;
  const got = `${tokens.length} of ${errand.answerTokens} tokens${place}`;
  return `${id} (${errand.service}, ${reconnects} reconnects) with ${got}`;
}

/** The stand-ins number the words of an answer from 0 on. */
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
    detail: `${told.length} told, ${untrue} had run`,
  });
}

function atMostOnce({ errands, runs }: Evidence): PromiseCheck {
  const counts = new Map<string, number>();
  for (const { id, count } of runs) counts.set(id, (counts.get(id) ?? 0) + count);
  const once = errands.filter(({ errand }) => !errand.repeatable);
  const twice = once.filter(({ id }) => (counts.get(id) ?? 0) > 1).length;
  return check("what may not be repeated runs at most once", twice, {
    detail: `${once.length} such requests, ${twice} ran more than once`,
  });
}

function leavingGetNothing({ leaving }: Evidence): PromiseCheck {
  const late = leaving.reduce((sum, server) => sum + server.begunAtEnd - server.begunByBound, 0);
  return check("a leaving backend server gets no new work after 3 s", late, {
    detail: `${leaving.length} left, ${late} late dispatches`,
  });
}

function inForceInTime({ presetDelays, presetsAfterSwitch }: Evidence): PromiseCheck {
  const late = presetDelays.filter((delay) => delay > IN_FORCE_BOUND).length;
  const reverted = presetsAfterSwitch.length > 1 ? 1 : 0;
  const slowest = Math.max(0, ...presetDelays);
  const held = late + reverted;
  return check("an accepted preset is in force everywhere within 5 s and never reverts", held, {
    detail: `${presetDelays.length} instances, the slowest after ${Math.round(slowest)} ms`,
  });
}

function check(promise: string, violations: number, { detail }: { detail: string }): PromiseCheck {
  return { promise, held: violations === 0, detail };
}
