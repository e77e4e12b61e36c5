import type { Trace } from "./trace.ts";

/** Cost that no policy can undercut, in euros. */
export interface LowerBound {
  /**
   * Cost of all answer tokens at the rate of a full batch, with each distinct part of a prompt
   * computed once.
   */
  readonly work: number;
  /** Cost of the minimum number of workers that the active presets demand, over the whole time. */
  readonly least: number;
  /** Sum over the services of the greater of the two. */
  readonly total: number;
}

const MILLISECONDS_PER_HOUR = 3_600_000;

/**
 * Computes a lower bound on the cost of a trace.
 *
 * Every worker has the price of the cheapest offer of its machine class. The share that the preset
 * demands on demand has the price of the cheapest on-demand offer. Batches are always full,
 * prefixes are always cached, and there are no reserves, so every real policy costs more.
 *
 * @param trace The trace.
 */
export function computeLowerBound(trace: Trace): LowerBound {
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
    const endsAt = phases[index + 1]?.t ?? header.duration;
    const bounds = header.deployment.presets[preset]?.services[service];
    const workers = bounds?.least ?? 0;
    const names = Object.keys(header.deployment.machineClasses);
    const prices = names.map((name) => minPricePerHour(trace, name, bounds?.reclaimable ?? 1));
    return cost + workers * ((endsAt - t) / MILLISECONDS_PER_HOUR) * Math.min(...prices);
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
