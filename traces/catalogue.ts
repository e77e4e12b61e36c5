import { Lane } from "../src/decision/index.ts";
import { computeLowerBound, parseTrace } from "../src/standin/replay/index.ts";
import type { Trace, TraceArrival, TraceFault } from "../src/standin/replay/index.ts";
import { ASSOCIATION_CALM, ASSOCIATION_DEPLOYMENT, ASSOCIATION_PEAK } from "./association.ts";
import { KORTFILM_CALM, KORTFILM_DEPLOYMENT, KORTFILM_PEAK } from "./kortfilm.ts";
import { drawArrivals } from "./workload.ts";
import type { Workload } from "./workload.ts";

/** A generated trace and its name. */
export interface GeneratedTrace {
  /** File name without extension. */
  readonly name: string;
  /** The trace as JSON lines. */
  readonly text: string;
}

/** Parameters of a trace to generate. */
interface TracePlan {
  readonly name: string;
  readonly deployment: Deployment;
  readonly preset: string;
  readonly workload: Workload;
  readonly faults: readonly TraceFault[];
  /** Selects the arrivals to keep. If absent, all are kept. */
  readonly includes?: (arrival: TraceArrival) => boolean;
  /** Minimum fraction of the requests of a group that must be answered. Absent for saturation. */
  readonly minAnswered?: number;
  /**
   * Maximum recomputed tokens, as a fraction of the tokens in progress at the fault, or of all
   * tokens without a fault.
   */
  readonly maxRecomputed: number;
}

type Deployment = typeof ASSOCIATION_DEPLOYMENT | typeof KORTFILM_DEPLOYMENT;

const MINUTE = 60_000;
const SECOND = 1_000;

/** Minimum fraction of requests within the latency target. */
const MIN_WITHIN_TARGET = 0.95;
/**
 * Minimum fraction of accepted and refused requests with a complete answer, except in saturation.
 */
const MIN_ANSWERED = 0.99;
/** Maximum ratio of the cost to its lower bound. */
const MAX_COST_RATIO = 1.25;
/** Maximum recomputed tokens after a fault, as a fraction of those recomputed by a full restart. */
const MAX_RECOMPUTED_AFTER_FAULT = 0.1;
/** Minimum ratio of the goodput in saturation to the best possible one. */
const MIN_GOODPUT_RATIO = 0.95;
/** Maximum fraction of tokens recomputed without a fault, because of hedges or a full KV cache. */
const MAX_RECOMPUTED_CALM = 0.001;
/**
 * Milliseconds per token at the upper end of the latency target, to estimate the tokens in
 * progress.
 */
const TOKEN_TIME = 30;
/** Ratio of the arriving work to the capacity of all workers in saturation. */
const SATURATION_FACTOR = 2;
/** Duration of a saturation trace in milliseconds. */
const SATURATION_DURATION = 10 * MINUTE;

/**
 * Reclaims a whole availability zone at 15 s notice. Launches are refused there and in a second
 * zone.
 */
function zoneReclaimFaults(zone: string, next: string): TraceFault[] {
  const at = 8 * MINUTE;
  return [
    { kind: "reclaim", t: at, within: 15 * SECOND, zone },
    { kind: "refuse", t: at, until: 16 * MINUTE, zone },
    { kind: "refuse", t: at, until: 11 * MINUTE, zone: next },
  ];
}

/** Slows one worker of the service down by a factor of 5 for 8 minutes. */
function slowWorkerFaults(service: string): TraceFault[] {
  return [{ kind: "slow", t: 5 * MINUTE, until: 13 * MINUTE, service, index: 1, factor: 5 }];
}

/** Averages the calm and the peak rates, so that the reclaim occurs while the fleet is busy. */
function averageCalmAndPeak({ peak, calm }: { peak: Workload; calm: Workload }): Workload {
  const rateFactor: Workload["rateFactor"] = (profile, progress) =>
    (peak.rateFactor(profile, progress) + calm.rateFactor(profile, progress)) / 2;
  return { ...calm, rateFactor };
}

/**
 * Creates the plans of one user: calm, peak, zone reclaim (wave), slow worker, peak lookups and
 * saturation.
 */
function createPlans(user: {
  readonly name: string;
  readonly deployment: Deployment;
  readonly calm: Workload;
  readonly peak: Workload;
  readonly presets: { readonly calm: string; readonly peak: string };
  readonly service: string;
  readonly zones: readonly [string, string];
}): TracePlan[] {
  const { name, deployment, calm, peak, presets, service, zones } = user;
  const base = { deployment, minAnswered: MIN_ANSWERED, maxRecomputed: MAX_RECOMPUTED_CALM };
  // The user's other service receives only lookups.
  const isLookup = (arrival: TraceArrival): boolean =>
    arrival.l === Lane.Lookup || arrival.s !== service;
  const atPeak = { ...base, preset: presets.peak, workload: peak, faults: [] };
  return [
    { ...base, name: `${name}_calm`, preset: presets.calm, workload: calm, faults: [] },
    { ...atPeak, name: `${name}_peak` },
    {
      ...base,
      name: `${name}_wave`,
      preset: presets.peak,
      workload: averageCalmAndPeak(user),
      faults: zoneReclaimFaults(...zones),
      maxRecomputed: MAX_RECOMPUTED_AFTER_FAULT,
    },
    {
      ...base,
      name: `${name}_slow`,
      preset: presets.calm,
      workload: calm,
      faults: slowWorkerFaults(service),
      maxRecomputed: MAX_RECOMPUTED_AFTER_FAULT,
    },
    { ...atPeak, name: `${name}_peak_lookups`, includes: isLookup },
    createSaturationPlan(user),
  ];
}

/**
 * Creates a plan whose arrivals need twice the capacity of all workers of the service. The trace is
 * short and the service has only 3 workers, to keep the trace small.
 */
function createSaturationPlan(user: {
  name: string;
  deployment: Deployment;
  calm: Workload;
  service: string;
}): TracePlan {
  const { name, deployment, calm, service } = user;
  const maxWorkers = 3;
  const presets = {
    saturated: {
      about: "Few workers, to be saturated.",
      services: Object.fromEntries(
        Object.keys(deployment.services).map((key) => [
          key,
          { least: maxWorkers, most: maxWorkers, reclaimable: 1 },
        ]),
      ),
    },
  };
  const profiles = calm.profiles.filter((profile) => profile.service === service);
  // Lengths are drawn with the square of a uniform random number, whose mean is a third.
  const mean = ([min, max]: readonly [number, number]): number => min + (max - min) / 3;
  const tokensPerSecond = profiles.reduce(
    (sum, profile) => sum + profile.arrivalsPerSecond * mean(profile.answerTokens),
    0,
  );
  const capacity = maxWorkers * deployment.machineClasses.standard.tokensPerSecond;
  const factor = (SATURATION_FACTOR * capacity) / tokensPerSecond;
  return {
    name: `${name}_saturation`,
    maxRecomputed: MAX_RECOMPUTED_CALM,
    deployment: { ...deployment, presets } as unknown as Deployment,
    preset: "saturated",
    workload: { ...calm, profiles, duration: SATURATION_DURATION, rateFactor: () => factor },
    faults: [],
  };
}

/**
 * Generates all traces.
 *
 * @param seed Seed of the random numbers. The same seed generates the same traces.
 */
export function generateTraces(seed: number): GeneratedTrace[] {
  const plans = [
    ...createPlans({
      name: "association",
      deployment: ASSOCIATION_DEPLOYMENT,
      calm: ASSOCIATION_CALM,
      peak: ASSOCIATION_PEAK,
      presets: { calm: "day", peak: "peak" },
      service: "entry-model",
      zones: ["sofia-c", "sofia-a"],
    }),
    ...createPlans({
      name: "kortfilm",
      deployment: KORTFILM_DEPLOYMENT,
      calm: KORTFILM_CALM,
      peak: KORTFILM_PEAK,
      presets: { calm: "night", peak: "morning" },
      service: "samphire-pool",
      zones: ["gent-a", "antw-a"],
    }),
  ];
  return plans.map((plan) => ({ name: plan.name, text: generateTrace(plan, seed) }));
}

function generateTrace(plan: TracePlan, seed: number): string {
  const { name, deployment, preset, workload, faults, includes } = plan;
  const arrivals = drawArrivals(workload, seed).filter((arrival) => includes?.(arrival) ?? true);
  const header = {
    kind: "header",
    name,
    seed,
    duration: workload.duration,
    preset,
    weightStore: 2_000_000_000,
    transferRate: 1_250_000_000,
    bytesPerToken: 130_000,
    deployment,
  };
  const lines = [...arrivals, ...faults].map((line) => JSON.stringify(line));
  const write = (outcomes: object): string =>
    [JSON.stringify({ ...header, outcomes }), ...lines, ""].join("\n");
  // The required outcomes depend on the parsed trace, so it is parsed with placeholders first.
  const read = parseTrace(write({ lost: 0, services: {} }), name);
  if (read.kind === "unreadable") throw new Error(`${name}:${read.line}: ${read.message}`);
  return write(requiredOutcomes(plan, read.trace));
}

/**
 * Derives the required outcomes from the targets and the trace, never from the result of a replay.
 */
function requiredOutcomes(plan: TracePlan, trace: Trace): object {
  const isSaturation = plan.minAnswered === undefined;
  const { deployment } = trace.header;
  const groups = new Set(
    trace.arrivals.map(({ s, l }) => `${s}/${l ?? deployment.services[s]?.lane ?? "script"}`),
  );
  const service = {
    firstToken: MIN_WITHIN_TARGET,
    betweenTokens: MIN_WITHIN_TARGET,
    ...(isSaturation ? {} : { answered: plan.minAnswered }),
  };
  return {
    lost: 0,
    recomputed: maxRecomputedTokens(plan, trace),
    ...(isSaturation
      ? { goodput: Math.floor(MIN_GOODPUT_RATIO * bestGoodput(trace)) }
      : { cost: roundCost(MAX_COST_RATIO * computeLowerBound(trace).total) }),
    services: Object.fromEntries([...groups].sort().map((group) => [group, service])),
  };
}

/** Returns the maximum number of tokens that a replay may recompute. */
function maxRecomputedTokens({ maxRecomputed }: TracePlan, trace: Trace): number {
  const fault = trace.faults.find(({ kind }) => kind === "reclaim" || kind === "slow");
  if (fault === undefined) {
    const all = trace.arrivals.reduce((sum, { p, n }) => sum + p + n, 0);
    return Math.floor(maxRecomputed * all);
  }
  const { services, zones } = trace.header.deployment;
  const affectedServices = fault.kind === "slow" ? [fault.service] : Object.keys(services);
  const zoneCount = fault.kind === "slow" ? 1 : zones.length;
  return Math.floor(
    (maxRecomputed * tokensInProgressAt(trace, fault.t, affectedServices)) / zoneCount,
  );
}

/**
 * Estimates the prompt and answer tokens in progress at a time, at {@linkcode TOKEN_TIME} per
 * answer token.
 */
function tokensInProgressAt(trace: Trace, at: number, services: readonly string[]): number {
  return trace.arrivals.reduce((sum, { t, s, p, n }) => {
    const produced = (at - t) / TOKEN_TIME;
    const isRunning = services.includes(s) && produced >= 0 && produced < n;
    return isRunning ? sum + p + produced : sum;
  }, 0);
}

/**
 * Returns the answer tokens per second if all workers always run full batches and compute only
 * uncached prompt tokens.
 */
function bestGoodput(trace: Trace): number {
  const { presets, machineClasses } = trace.header.deployment;
  const services = new Set(trace.arrivals.map(({ s }) => s));
  const scaling = presets[trace.header.preset]?.services ?? {};
  const workers = [...services].reduce((sum, name) => sum + (scaling[name]?.most ?? 0), 0);
  const answerTokens = trace.arrivals.reduce((sum, { n }) => sum + n, 0);
  const promptTokens = trace.arrivals.reduce((sum, { p, xt }) => sum + p - (xt ?? 0), 0);
  const machineClass = machineClasses["standard"];
  if (machineClass === undefined) return 0;
  const time =
    answerTokens / machineClass.tokensPerSecond + promptTokens / machineClass.prefillPerSecond;
  return (workers * answerTokens) / time;
}

/** Rounds a cost to a thousandth of a euro. */
function roundCost(euros: number): number {
  return Math.round(euros * 1_000) / 1_000;
}
