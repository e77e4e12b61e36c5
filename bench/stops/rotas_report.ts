/**
 * Judges the requests of the row `rotas`, and prints and keeps what is known of those that were broken off.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { Fate, GRACE, judge } from "./judge.ts";
import type { Judgement, Stop, StopRequest } from "./judge.ts";
import { EarlyEnd } from "./rotas_connection.ts";
import type { ObservedAnswer } from "./rotas_connection.ts";
import type { LoggedLine, RotaFleet, RotaLife } from "./rotas_fleet.ts";
import { ROTA_ROUTES } from "./rotas_site.ts";
import type { RotaRun } from "./rotas_worker.ts";

/** A judged request. */
export interface JudgedAnswer {
  readonly answer: ObservedAnswer;
  readonly judgement: Judgement;
  readonly isLost: boolean;
}

/** What a run of the row has recorded. */
export interface RotaRecords {
  readonly fleet: RotaFleet;
  readonly answers: readonly ObservedAnswer[];
  /** Name of the folder for the evidence. */
  readonly name: string;
}

interface ParsedLine {
  readonly step: string;
  readonly request?: string;
  readonly reason?: string;
  readonly sequence: number;
  readonly time: number;
}

/** Time after SIGTERM in which the rule applies, in milliseconds. */
const RULE_TIME = GRACE + 1_000;
/** Tolerance of the end at a route's timeout, in milliseconds. */
const TIMEOUT_TOLERANCE = 100;

/** Returns the lines of the summary, and writes the evidence of each request that was broken off. */
export function rotaSummary(records: RotaRecords): string[] {
  const { fleet, answers } = records;
  const judged = answers.filter(isJudged).map((answer) => judgeAnswer(answer, fleet));
  const inStop = judged.filter(({ answer }) => stopsAround(answer, fleet).length > 0);
  const broken = judged.filter(({ judgement }) => judgement.fate === Fate.BrokenOff);
  for (const one of broken) writeEvidence(one, records);
  const early = countsBy(answers, ({ earlyEnd }) => earlyEnd ?? "none");
  return [
    `all: ${describe(judged)}`,
    `around a stop of their instance: ${describe(inStop)}`,
    `ended by the client: ${early}`,
    `statuses: ${countsBy(answers, ({ status }) => String(status))}`,
    ...broken.map((one) => describeBroken(one, fleet)),
    ...fleet.lives.filter(({ stoppedAt }) => stoppedAt !== undefined).map(describeLife),
    ...fleet.lives.flatMap(strangeLines),
  ];
}

/** Whether the rule can apply: the client waited for the answer. */
function isJudged({ earlyEnd, endedAt, sentAt, route }: ObservedAnswer): boolean {
  if (earlyEnd === EarlyEnd.Left || earlyEnd === EarlyEnd.GaveUp) return false;
  const timeout = ROTA_ROUTES.find(({ name }) => name.valueOf() === route)?.timeout ?? Infinity;
  return endedAt - sentAt < timeout - TIMEOUT_TOLERANCE;
}

/** Judges a request by all stops of the machine that took it. */
export function judgeAnswer(
  answer: ObservedAnswer,
  fleet: Pick<RotaFleet, "instances" | "lives" | "runs">,
): JudgedAnswer {
  const runs = fleet.runs.get(answer.id) ?? [];
  const judgements = stopsAround(answer, fleet).map((stop) =>
    judge(requestOf(answer, stop.pid), { runs, stop }),
  );
  const [first = judge(requestOf(answer, 0), { runs, stop: undefined })] = judgements;
  const isBrokenByWorker = runs.some(({ isBrokenOff }) => isBrokenOff);
  const lost = judgements.find(({ isLost }) => isLost);
  return { answer, judgement: lost ?? first, isLost: lost !== undefined && !isBrokenByWorker };
}

function requestOf(answer: ObservedAnswer, pid: number): StopRequest {
  const { id, sentAt, endedAt, status, isWhole } = answer;
  return { id, pid, sentAt, endedAt, length: Infinity, status, isWhole };
}

/** Returns the stops of the machine that took the request within which the rule applies, whatever its life then. */
function stopsAround(
  answer: ObservedAnswer,
  { instances, lives }: Pick<RotaFleet, "instances" | "lives">,
): Stop[] {
  const name = instances.find(({ listen }) => listen.callers === answer.address)?.name;
  return lives.flatMap(({ instance, stoppedAt, pid }) => {
    if (instance !== name || stoppedAt === undefined) return [];
    const isAround = answer.endedAt >= stoppedAt && answer.sentAt <= stoppedAt + RULE_TIME;
    return isAround ? [{ pid, at: stoppedAt }] : [];
  });
}

function describe(judged: readonly JudgedAnswer[]): string {
  const lost = judged.filter(({ isLost }) => isLost).length;
  const fates = countsBy(judged, ({ judgement }) => judgement.fate);
  return `${judged.length} answers, ${lost} LOST, ${fates}`;
}

function countsBy<T>(values: readonly T[], keyOf: (value: T) => string): string {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(keyOf(value), (counts.get(keyOf(value)) ?? 0) + 1);
  return [...counts].map(([key, count]) => `${count} ${key}`).join(", ");
}

function describeBroken({ answer, isLost }: JudgedAnswer, fleet: RotaFleet): string {
  const [stop] = stopsAround(answer, fleet);
  const after = (time: number | undefined): string =>
    stop === undefined || time === undefined ? "?" : ((time - stop.at) / 1_000).toFixed(3);
  const runs = fleet.runs.get(answer.id) ?? [];
  const runTexts = runs.map(
    (run) =>
      `${run.worker} ${after(run.startedAt)}..${after(run.endedAt)} ` +
      `${run.eventsSent} events whole=${run.isWhole} brokenOff=${run.isBrokenOff}`,
  );
  const steps = linesNaming(answer.id, fleet).map(({ line }) => stepOf(line));
  return [
    isLost ? "LOST" : "broken off",
    answer.id,
    answer.route,
    answer.source,
    `sent ${after(answer.sentAt)} body ${after(answer.bodySentAt)} head ${after(answer.headAt)}`,
    `last ${after(answer.lastByteAt)} end ${after(answer.endedAt)}`,
    `status ${answer.status} ${answer.error ?? ""} events ${answer.lastEvent}/${answer.events}`,
    `runs [${runTexts.join("; ")}] lines [${steps.join(", ")}]`,
  ].join(" | ");
}

function linesNaming(
  id: string,
  { lives }: RotaFleet,
): { readonly instance: string; readonly pid: number; readonly line: LoggedLine }[] {
  const mark = `"${id}"`;
  return lives.flatMap(({ instance, pid, lines }) =>
    lines.filter(({ text }) => text.includes(mark)).map((line) => ({ instance, pid, line })),
  );
}

function writeEvidence({ answer, isLost }: JudgedAnswer, { fleet, name }: RotaRecords): void {
  const folder = path.join("dist", "stops", name);
  mkdirSync(folder, { recursive: true });
  const evidence = {
    answer,
    isLost,
    instance: fleet.instances.find(({ listen }) => listen.callers === answer.address)?.name,
    runs: fleet.runs.get(answer.id) ?? ([] as RotaRun[]),
    lines: linesNaming(answer.id, fleet),
    lives: fleet.lives.map((life) => ({ ...life, lines: stateLines(life) })),
  };
  writeFileSync(path.join(folder, `${answer.id}.json`), JSON.stringify(evidence, undefined, 1));
}

function stateLines({ lines }: RotaLife): LoggedLine[] {
  return lines.filter(({ text }) => !text.includes('"message":"request"'));
}

/** Describes the end of a life: its refusals as stopping, its end and its number of lines. */
function describeLife(life: RotaLife): string {
  const { stoppedAt = 0, endedAt = Infinity, startedAt } = life;
  const lines = life.lines.flatMap(({ text }) => parseLine(text) ?? []);
  const refusals = lines.filter(({ reason }) => reason === "stopping");
  const after = (time: number): string => ((time - stoppedAt) / 1_000).toFixed(2);
  return [
    `${life.instance} pid ${life.pid}: lived ${((stoppedAt - startedAt) / 1_000).toFixed(1)} s`,
    `ended ${after(endedAt)} s after SIGTERM, exit ${life.exitCode} killed=${life.isKilled}`,
    `${refusals.length} refused as stopping at ${refusals.map(({ time }) => after(time)).join(" ")}`,
    `sequence at the last ${refusals.at(-1)?.sequence ?? "none"}, ${lines.length} lines`,
  ].join(", ");
}

/** Returns what a process wrote besides its log. */
function strangeLines({ instance, pid, lines }: RotaLife): string[] {
  return lines
    .filter(({ text }) => parseLine(text) === undefined)
    .map(({ text }) => `${instance} pid ${pid} wrote: ${text}`);
}

function stepOf({ text }: LoggedLine): string {
  const parsed = parseLine(text);
  return `${parsed?.step ?? "?"} ${parsed?.reason ?? ""}`.trim();
}

function parseLine(text: string): ParsedLine | undefined {
  if (!text.startsWith("{")) return undefined;
  const { context, sequence, time } = JSON.parse(text) as {
    readonly context: Pick<ParsedLine, "step" | "request" | "reason">;
    readonly sequence: string;
    readonly time: number;
  };
  return { ...context, sequence: Number(sequence), time };
}
