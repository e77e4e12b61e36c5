import type { Trace } from "./trace.ts";

/** What no policy can go under, in euros. */
export interface LowerBound {
  /** All answer tokens at the rate of a full batch, and each different prompt part computed once. */
  readonly work: number;
  /** The least number of workers that the presets in force demand, over the whole time. */
  readonly least: number;
  /** The greater of the two for each service, summed. */
  readonly total: number;
}

const MILLISECONDS_PER_HOUR = 3_600_000;

/**
 * Works out a lower bound on the cost of a trace.
 *
 * Every worker is priced at the cheapest offer of its machine class; the part that the preset wants on
 * demand at the cheapest on-demand offer. Batches are always full, prefixes always cached, and nothing is
 * kept in reserve, so that a real policy stays above it.
 */
export function lowerBoundOf(trace: Trace): LowerBound {
  const services = Object.keys(trace.header.deployment.services);
  const bounds = services.map((service) => ({
    work: workCost(trace, service),
    least: minWorkersCost(trace, service),
  }));
  const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);
  return {
    work: sum(bounds.map(({ work }) => work)),
    least: sum(bounds.map(({ least }) => least)),
    total: sum(bounds.map(({ work, least }) => Math.max(work, least))),
  };
}

function workCost(trace: Trace, service: string): number {
  const { header, arrivals } = trace;
  const longestPrefix = new Map<string, number>();
  let answerTokens = 0;
  let promptTokens = 0;
  for (const { s, n, m, p, x, xt } of arrivals) {
    if (s !== service) continue;
    answerTokens += Math.min(n, m ?? n);
    const sharedTokens = x === undefined ? 0 : Math.min(p, xt ?? p);
    promptTokens += p - sharedTokens;
    if (x !== undefined) longestPrefix.set(x, Math.max(sharedTokens, longestPrefix.get(x) ?? 0));
  }
  for (const sharedTokens of longestPrefix.values()) promptTokens += sharedTokens;
  const { machineClasses } = header.deployment;
  const reclaimable = maxReclaimableShare(trace, service);
  const costs = Object.entries(machineClasses).map(([name, capacity]) => {
    const time = answerTokens / capacity.tokensPerSecond + promptTokens / capacity.prefillPerSecond;
    return ((time * 1_000) / MILLISECONDS_PER_HOUR) * minPricePerHour(trace, name, reclaimable);
  });
  return Math.min(...costs);
}

function minWorkersCost(trace: Trace, service: string): number {
  const { header, faults } = trace;
  const presetFaults = faults.filter((fault) => fault.kind === "preset");
  const phases = [{ t: 0, preset: header.preset }, ...presetFaults];
  return phases.reduce((cost, { t, preset }, index) => {
    const until = phases[index + 1]?.t ?? header.duration;
    const bounds = header.deployment.presets[preset]?.services[service];
    const workers = bounds?.least ?? 0;
    const names = Object.keys(header.deployment.machineClasses);
    const prices = names.map((name) => minPricePerHour(trace, name, bounds?.reclaimable ?? 1));
    return cost + workers * ((until - t) / MILLISECONDS_PER_HOUR) * Math.min(...prices);
  }, 0);
}

function maxReclaimableShare({ header, faults }: Trace, service: string): number {
  const switchedTo = faults.flatMap((fault) => (fault.kind === "preset" ? [fault.preset] : []));
  const presets = [header.preset, ...switchedTo];
  return Math.max(
    ...presets.map((name) => header.deployment.presets[name]?.services[service]?.reclaimable ?? 1),
  );
}

function minPricePerHour({ header }: Trace, machineClass: string, reclaimable: number): number {
  const offers = header.deployment.offers.filter((offer) => offer.machineClass === machineClass);
  const minReclaimable = Math.min(...offers.map((offer) => offer.reclaimable));
  const minOnDemand = Math.min(...offers.map((offer) => offer.onDemand));
  return reclaimable * minReclaimable + (1 - reclaimable) * minOnDemand;
}
