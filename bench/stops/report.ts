/**
 * The printed summary of a run of the stop harness.
 *
 * @module
 */
import { Fate } from "./judge.ts";
import type { Judgement } from "./judge.ts";
import type { RequestLine, StopFleet } from "./stop_fleet.ts";

/** Returns the lines of the summary. */
export function summaryLines(
  fleet: Pick<StopFleet, "judgements" | "lastLine" | "kills">,
): string[] {
  const judgements = fleet.judgements();
  const inStop = judgements.filter(({ sentAfter }) => sentAfter !== undefined && sentAfter >= 0);
  return [
    `all:                     ${countsOf(judgements)}`,
    `sent to stopping ones:   ${countsOf(inStop)}`,
    `LOST, after SIGTERM:     ${spread(judgements.filter(({ isLost }) => isLost))}`,
    ...brokenOffLines(judgements, fleet.lastLine),
    ...groupLines(judgements),
    `instances killed after the grace period: ${fleet.kills}`,
  ];
}

function countsOf(judgements: readonly Judgement[]): string {
  const count = (fate: Fate): number => judgements.filter((one) => one.fate === fate).length;
  const lost = judgements.filter(({ isLost }) => isLost).length;
  const needless = judgements.filter((one) => one.isNeedlesslyRefused).length;
  return [
    `${judgements.length} answers`,
    `${count(Fate.Whole)} whole`,
    `${count(Fate.BrokenOff)} broken off`,
    `${lost} LOST`,
    `${count(Fate.Refused)} refused with 503 (${needless} needlessly)`,
    `${count(Fate.Failed)} with another status`,
    `${count(Fate.Unread)} not read`,
  ].join(", ");
}

/** Counts the requests of each group. */
function groupLines(judgements: readonly Judgement[]): string[] {
  const groups = new Map<string, Judgement[]>();
  for (const judgement of judgements) {
    const { group } = judgement.request;
    if (group !== undefined) groups.set(group, [...(groups.get(group) ?? []), judgement]);
  }
  return [...groups].map(([group, members]) => `${group}: ${countsOf(members)}`);
}

const UNSERVED_FATES: ReadonlySet<Fate> = new Set([Fate.BrokenOff, Fate.Failed]);

/** States for requests that were broken off or failed whether the instances logged them, and the last lines on them. */
function brokenOffLines(
  judgements: readonly Judgement[],
  lastLine: (id: string) => RequestLine | undefined,
): string[] {
  const notServed = judgements.filter(({ fate }) => UNSERVED_FATES.has(fate));
  const counts = new Map<string, number>();
  for (const { request, fate } of notServed) {
    const { group = "", status, id } = request;
    const text = `${group} ${fate}, status ${status}, last log line: ${describeLine(lastLine(id))}`;
    counts.set(text, (counts.get(text) ?? 0) + 1);
  }
  return [...counts].map(([text, count]) => `${text}: ${count}`);
}

function describeLine(line: RequestLine | undefined): string {
  if (line === undefined) return "none";
  const { step, reason = "", isCut, runs, end } = line;
  return `${step} ${reason} isCut=${isCut ?? ""} runs=${runs ?? ""} end=${end ?? ""}`;
}

/** Returns the first and last time after SIGTERM at which requests were sent and ended, in seconds. */
function spread(judgements: readonly Judgement[]): string {
  if (judgements.length === 0) return "none";
  const sent = judgements.map(({ sentAfter = 0 }) => sentAfter);
  const ended = judgements.map(
    ({ request, sentAfter = 0 }) => sentAfter + request.endedAt - request.sentAt,
  );
  return `sent ${range(sent)}, ended ${range(ended)}`;
}

function range(times: readonly number[]): string {
  const seconds = (time: number): string => (time / 1_000).toFixed(2);
  return `${seconds(Math.min(...times))} to ${seconds(Math.max(...times))} s`;
}
