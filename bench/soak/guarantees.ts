/**
 * Checks of the guarantees of the product against the records of a soak test.
 *
 * Each check reports its number of opportunities to fail: a check without any proves nothing. Guarantees that depend on
 * the connections between the processes are not checked for an instance while it, or the store, is disturbed or
 * recovering. No disturbance excuses a wrong answer or a second run of a request that may run at most once.
 *
 * @module
 */
import { BOUNDS, isDisturbed, isUndisturbed, requestById } from "./check.ts";
import type { Check, Finding } from "./check.ts";
import { RequestKind, ALL_TARGETS } from "./observation.ts";
import type { ObservedRequest, ObservedRun, Observations } from "./observation.ts";
import { checkAnnouncements, checkDraining, checkLimits, checkPauses } from "./worker_checks.ts";

const SUCCESS = 200;
const REDIRECTION = 300;
const NOT_FOUND = 404;
/** Statuses that state that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const CHECKS: Readonly<Record<string, Check>> = {
  "an answer is whole and belongs to its request": checkAnswers,
  "what may run once runs once": checkOnce,
  "what is said not to have run hasn't": checkNotRun,
  "a stream goes on at the version that began it": checkStreamVersions,
  "a stream that is taken up goes on": checkResumedStreams,
  "a refusal comes at once": checkRefusals,
  "a worker that leaves gets nothing more": checkDraining,
  "a configuration is in force in time, and stays": checkConfigurations,
  "repeats stay within their budget": checkRepeats,
  "an account stays within its quota": checkQuota,
  "one instance at a time makes the platform's calls": checkLeaseHolder,
  "a window of usage is reported with one count": checkUsage,
  "a request that crashes workers is kept from them": checkCrashes,
  "a worker gets no more than it names": checkLimits,
  "a worker that announces its end in responses gets nothing more": checkAnnouncements,
  "a worker that asks for a pause gets none in it": checkPauses,
  "a planned stop breaks no answer": checkStops,
  "an instance's memory, descriptors and log are bounded": checkProcesses,
  "all is served again at the end": checkRecovery,
  "ready and resolve tell the truth at the end": checkReady,
};

/** Checks all guarantees. */
export function checkGuarantees(observations: Observations): Finding[] {
  return Object.entries(CHECKS).map(([promise, check]) => ({ promise, ...check(observations) }));
}

function isServed({ status }: ObservedRequest): boolean {
  return status >= SUCCESS && status < REDIRECTION;
}

function runsById(runs: readonly ObservedRun[]): Map<string, ObservedRun[]> {
  const byId = new Map<string, ObservedRun[]>();
  for (const run of runs) byId.set(run.id, [...(byId.get(run.id) ?? []), run]);
  return byId;
}

function checkAnswers({ requests }: Observations): ReturnType<Check> {
  // What brings the rest of a stream is checked by `checkStreamVersions`.
  const answered = requests.filter((one) => isServed(one) && !one.isResumed);
  const served = answered.filter(({ isWhole }) => isWhole);
  const wrong = answered.filter(({ isRight }) => !isRight);
  return {
    chances: served.length,
    broken: wrong.map(
      ({ id, kind }) => `${kind} ${id} received the answer of another request or a corrupt one.`,
    ),
  };
}

function checkOnce({ requests, runs }: Observations): ReturnType<Check> {
  const byId = runsById(runs);
  const once = requests.filter(({ kind }) => kind === RequestKind.Once || kind === RequestKind.Hot);
  const broken = once.flatMap(({ id }) => {
    const count = byId.get(id)?.length ?? 0;
    return count > 1 ? [`${id} ran ${count} times.`] : [];
  });
  return { chances: once.length, broken };
}

function checkNotRun({ requests, runs }: Observations): ReturnType<Check> {
  const byId = runsById(runs);
  const refused = requests.filter(({ status }) => NOT_RUN.has(status));
  const broken = refused.flatMap(({ id, kind, status }) =>
    byId.has(id) ? [`${kind} ${id} was answered ${status}, but it has run.`] : [],
  );
  return { chances: refused.length, broken };
}

function checkStreamVersions({ requests }: Observations): ReturnType<Check> {
  const resumed = requests.filter((one) => one.isResumed && isServed(one));
  const broken = resumed
    .filter(({ isRight }) => !isRight)
    .map(({ id }) => `${id} brought events that don't continue the stream.`);
  return { chances: resumed.length, broken };
}

function checkResumedStreams(observations: Observations): ReturnType<Check> {
  const streams = observations.requests.filter(
    ({ kind, instance, sentAt }) =>
      kind === RequestKind.Stream && isUndisturbed(observations, instance, sentAt),
  );
  const resumed = streams.filter(({ isResumed }) => isResumed);
  const begun = streams.filter(({ isResumed }) => !isResumed);
  const shareOf = (some: readonly ObservedRequest[]): number =>
    some.filter(isServed).length / Math.max(1, some.length);
  const isViolated =
    resumed.length >= BOUNDS.resumed.minimum &&
    shareOf(resumed) < shareOf(begun) * BOUNDS.resumed.share;
  const share = Math.round(shareOf(resumed) * 100);
  return {
    chances: resumed.length,
    broken: isViolated ? [`${share} in 100 of ${resumed.length} streams went on.`] : [],
  };
}

function checkRefusals(observations: Observations): ReturnType<Check> {
  const refused = observations.requests.filter(
    ({ status, instance, sentAt, endedAt }) =>
      NOT_RUN.has(status) && !isDisturbed(observations, instance, { from: sentAt, to: endedAt }),
  );
  const broken = refused.flatMap(({ id, status, sentAt, endedAt }) => {
    const took = Math.round(endedAt - sentAt);
    return took > BOUNDS.refusal ? [`${id} was refused with ${status} after ${took} ms.`] : [];
  });
  return { chances: refused.length, broken };
}

function checkConfigurations(observations: Observations): ReturnType<Check> {
  const broken: string[] = [];
  /** Time when the route of a version was first served, by process and version. */
  const firstServed = new Map<string, number>();
  for (const { instance, process, version, at, status } of observations.probes) {
    if (status === 0) continue;
    const key = `${instance} ${process} ${version}`;
    const servedSince = firstServed.get(key);
    if (status !== NOT_FOUND) {
      firstServed.set(key, servedSince ?? at);
      continue;
    }
    const acknowledged = observations.configurations.get(version) ?? Infinity;
    if (servedSince !== undefined) {
      broken.push(`${instance} returned to a configuration before ${version}.`);
    } else if (
      at > acknowledged + BOUNDS.configuration &&
      isUndisturbed(observations, instance, at)
    ) {
      const delay = Math.round(at - acknowledged);
      broken.push(`${instance} did not apply configuration ${version} within ${delay} ms.`);
    }
  }
  const chances = firstServed.size;
  return { chances, broken };
}

function checkRepeats({ requests, runs, startedAt, endedAt }: Observations): ReturnType<Check> {
  const { ratio, slack, window } = BOUNDS.repeats;
  const startedIds = new Set<string>();
  const retries: number[] = [];
  for (const { id, at } of runs) {
    if (startedIds.has(id)) retries.push(at);
    startedIds.add(id);
  }
  const broken: string[] = [];
  for (let from = startedAt; from < endedAt; from += window / 4) {
    const isWithin = (at: number): boolean => at >= from && at < from + window;
    const count = retries.filter(isWithin).length;
    const sent = requests.filter(({ sentAt }) => isWithin(sentAt)).length;
    const max = sent * ratio + slack;
    if (count > max) broken.push(`${count} retries of ${sent} requests in a window.`);
  }
  return { chances: retries.length, broken };
}

function checkQuota({ requests, runs, startedAt, endedAt }: Observations): ReturnType<Check> {
  const { perSecond, burst, excess, slack, window } = BOUNDS.quota;
  const hotIds = new Set(
    requests.filter(({ kind }) => kind === RequestKind.Hot).map(({ id }) => id),
  );
  const startedRuns = runs.filter(({ id }) => hotIds.has(id));
  const max = ((perSecond * window) / 1_000 + burst) * (1 + excess) + slack;
  const broken: string[] = [];
  for (let from = startedAt; from < endedAt; from += window / 8) {
    const count = startedRuns.filter(({ at }) => at >= from && at < from + window).length;
    if (count > max) broken.push(`${count} requests of the account ran in a window.`);
  }
  return { chances: hotIds.size, broken };
}

function checkLeaseHolder(observations: Observations): ReturnType<Check> {
  const broken: string[] = [];
  const holders = new Map<number, string>();
  let highest = 0;
  for (const { holder, fence, at } of observations.duties) {
    const previous = holders.get(fence) ?? holder;
    holders.set(fence, previous);
    if (previous !== holder)
      broken.push(`${previous} and ${holder} made calls with fence ${fence}.`);
    // A call may have been in transit while its sender was paused.
    const isExcused = isDisturbed(observations, holder, { from: at - BOUNDS.recovery, to: at });
    if (fence < highest && !isExcused) {
      broken.push(`${holder} made a call with fence ${fence} after ${highest}.`);
    }
    highest = Math.max(highest, fence);
  }
  return { chances: observations.duties.length, broken };
}

function checkUsage({ duties }: Observations): ReturnType<Check> {
  const reported = new Map<number, string>();
  const broken: string[] = [];
  for (const { path, body } of duties) {
    if (path !== "/usage") continue;
    const { window, counts } = body as { window: number; counts: Record<string, number> };
    const text = JSON.stringify(Object.entries(counts).sort());
    const previous = reported.get(window) ?? text;
    reported.set(window, previous);
    if (previous !== text)
      broken.push(`Window ${window} was reported with ${previous} and ${text}.`);
  }
  return { chances: reported.size, broken };
}

function checkCrashes(observations: Observations): ReturnType<Check> {
  const requests = requestById(observations);
  const { minCrashes, tolerated } = BOUNDS.crashes;
  const crashes = observations.runs.filter(({ hasCrashed }) => hasCrashed);
  const provenAt = crashes[minCrashes - 1]?.at ?? Infinity;
  const laterCrashes = crashes.filter(({ id, at }) => {
    const instance = requests.get(id)?.instance;
    return (
      at > provenAt + BOUNDS.recovery &&
      instance !== undefined &&
      isUndisturbed(observations, instance, at)
    );
  });
  const broken =
    laterCrashes.length > tolerated
      ? [
          `A crashing request reached ${laterCrashes.length} more backend servers after ${minCrashes} had crashed.`,
        ]
      : [];
  return { chances: crashes.length, broken };
}

function checkStops(observations: Observations): ReturnType<Check> {
  const ran = runsById(observations.runs);
  const during = observations.stops.flatMap((stop) =>
    observations.requests.filter(
      (one) =>
        one.instance === stop.target &&
        one.kind !== RequestKind.Stream &&
        one.sentAt < stop.to &&
        one.endedAt >= stop.from &&
        !isDisturbedOtherwise(observations, one),
    ),
  );
  const broken = during.flatMap(({ id, status, isWhole, isGivenUp, sentAt, endedAt }) => {
    const isInterrupted = !isGivenUp && (status === 0 || !isWhole);
    // A connection may be closed while a request is in transit: the instance has not read it.
    const isClosing = status === 0 && !ran.has(id) && endedAt - sentAt <= BOUNDS.closing;
    return isInterrupted && !isClosing ? [`${id} was interrupted by a planned stop.`] : [];
  });
  return { chances: during.length, broken };
}

/** Returns whether a fault other than a planned stop disturbed the request's instance while the request waited. */
function isDisturbedOtherwise(
  { disturbances }: Observations,
  { instance, sentAt, endedAt }: ObservedRequest,
): boolean {
  return disturbances.some(
    ({ target, isPlanned, from, to }) =>
      !isPlanned &&
      (target === instance || target === ALL_TARGETS) &&
      from <= endedAt &&
      to >= sentAt,
  );
}

function checkProcesses(observations: Observations): ReturnType<Check> {
  const { memory, descriptors, lines } = BOUNDS;
  const seconds = (observations.endedAt - observations.startedAt) / 1_000;
  const maxLines = seconds * lines.perSecond + observations.requests.length * lines.perRequest;
  const broken = observations.processes.flatMap((one) => [
    ...(one.memory > memory ? [`${one.instance} used ${one.memory} bytes of memory.`] : []),
    ...(one.descriptors > descriptors
      ? [`${one.instance} had ${one.descriptors} open files.`]
      : []),
    ...(one.lines > maxLines ? [`${one.instance} logged ${one.lines} lines.`] : []),
  ]);
  return { chances: observations.processes.length, broken };
}

function checkRecovery({ requests, endedAt }: Observations): ReturnType<Check> {
  const regular = requests.filter(
    ({ kind, sentAt, hasLeft }) =>
      kind !== RequestKind.Hot &&
      kind !== RequestKind.Crashing &&
      !hasLeft &&
      sentAt > endedAt - BOUNDS.finalPeriod,
  );
  const served = regular.filter((one) => isServed(one) && one.isWhole).length;
  const isViolated = served < regular.length * BOUNDS.served || regular.length === 0;
  return {
    chances: regular.length,
    broken: isViolated ? [`${served} of the last ${regular.length} requests were served.`] : [],
  };
}

function checkReady({ ends }: Observations): ReturnType<Check> {
  const all = ends.map(({ instance }) => instance).sort();
  const broken = ends.flatMap(({ instance, isReady, resolved }) => [
    ...(isReady ? [] : [`${instance} is not ready.`]),
    ...([...resolved].sort().join() === all.join()
      ? []
      : [`${instance} resolves ${resolved.join(" ")} for callers.`]),
  ]);
  return { chances: ends.length, broken };
}
