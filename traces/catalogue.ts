import { Lane } from "../src/decision/index.ts";
import { lowerBoundOf, parseTrace } from "../src/standin/replay/index.ts";
import type { Trace, TraceArrival, TraceFault } from "../src/standin/replay/index.ts";
import { ASSOCIATION_CALM, ASSOCIATION_DEPLOYMENT, ASSOCIATION_PEAK } from "./association.ts";
import { KORTFILM_CALM, KORTFILM_DEPLOYMENT, KORTFILM_PEAK } from "./kortfilm.ts";
import { drawArrivals } from "./workload.ts";
import type { Workload } from "./workload.ts";

/** A trace as it is written to a file. */
export interface GeneratedTrace {
  readonly name: string;
  readonly text: string;
}

interface Plan {
  readonly name: string;
  readonly deployment: Deployment;
  readonly preset: string;
  readonly workload: Workload;
  readonly faults: readonly TraceFault[];
  /** Which arrivals are kept; all where absent. */
  readonly keep?: (arrival: TraceArrival) => boolean;
  /** Least part of the requests of a group that are answered; absent in saturation. */
  readonly answered?: number;
  /** Tokens that may be computed again, as a part of what is in progress when a fault strikes. */
  readonly recomputedPart: number;
}

type Deployment = typeof ASSOCIATION_DEPLOYMENT | typeof KORTFILM_DEPLOYMENT;

const MINUTE = 60_000;
const SECOND = 1_000;

/** The latency target: 95 in 100. */
const WITHIN_TARGET = 0.95;
/** Of the accepted and refused together, the part that is answered whole outside of saturation. */
const ANSWERED = 0.99;
/** The aim for cost over the lower bound. */
const COST_OVER_BOUND = 1.25;
/** The aim for recomputed tokens in a wave against beginning again. */
const RECOMPUTED_OVER_RESTART = 0.1;
/** The aim for goodput in saturation against the best. */
const GOODPUT_OVER_BEST = 0.95;
/** Where no fault takes work away, what hedges and a full KV cache may cost: one in a thousand tokens. */
const RECOMPUTED_CALM = 0.001;
/** Milliseconds a token at the latency target's upper end, to see what is in progress at a time. */
const TOKEN_TIME = 30;
/** How many times what all workers can do arrives in saturation. */
const SATURATION = 2;
const SATURATED_TIME = 10 * MINUTE;

/** A wave: a whole availability zone with little notice, and launches refused there and next to it. */
function wave(zone: string, next: string): TraceFault[] {
  const at = 8 * MINUTE;
  return [
    { kind: "reclaim", t: at, within: 15 * SECOND, zone },
    { kind: "refuse", t: at, until: 16 * MINUTE, zone },
    { kind: "refuse", t: at, until: 11 * MINUTE, zone: next },
  ];
}

function slow(service: string): TraceFault[] {
  return [{ kind: "slow", t: 5 * MINUTE, until: 13 * MINUTE, service, index: 1, factor: 5 }];
}

/** Half of the peak's rise, so that the wave meets a busy fleet. */
function halfPeak({ peak, calm }: { peak: Workload; calm: Workload }): Workload {
  const curve: Workload["curve"] = (kind, part) =>
    (peak.curve(kind, part) + calm.curve(kind, part)) / 2;
  return { ...calm, curve };
}

function plansOf(user: {
  readonly name: string;
  readonly deployment: Deployment;
  readonly calm: Workload;
  readonly peak: Workload;
  readonly presets: { readonly calm: string; readonly peak: string };
  readonly service: string;
  readonly zones: readonly [string, string];
}): Plan[] {
  const { name, deployment, calm, peak, presets, service, zones } = user;
  const base = { deployment, answered: ANSWERED, recomputedPart: RECOMPUTED_CALM };
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
      workload: halfPeak(user),
      faults: wave(...zones),
      recomputedPart: RECOMPUTED_OVER_RESTART,
    },
    {
      ...base,
      name: `${name}_slow`,
      preset: presets.calm,
      workload: calm,
      faults: slow(service),
      recomputedPart: RECOMPUTED_OVER_RESTART,
    },
    { ...atPeak, name: `${name}_peak_lookups`, keep: isLookup },
    saturationPlan(user),
  ];
}

/** Twice what the service's most workers can do, over a short time: with few workers, to stay small. */
function saturationPlan(user: {
  name: string;
  deployment: Deployment;
  calm: Workload;
  service: string;
}): Plan {
  const { name, deployment, calm, service } = user;
  const most = 3;
  const presets = {
    saturated: {
      about: "Few workers, to be saturated.",
      services: Object.fromEntries(
        Object.keys(deployment.services).map((key) => [key, { least: most, most, reclaimable: 1 }]),
      ),
    },
  };
  const kinds = calm.kinds.filter((kind) => kind.service === service);
  const mean = ([least, greatest]: readonly [number, number]): number =>
    least + (greatest - least) / 3;
  const work = kinds.reduce((sum, kind) => sum + kind.rate * mean(kind.answer), 0);
  const capacity = most * deployment.machineClasses.standard.tokensPerSecond;
  const factor = (SATURATION * capacity) / work;
  return {
    name: `${name}_saturation`,
    recomputedPart: RECOMPUTED_CALM,
    deployment: { ...deployment, presets } as unknown as Deployment,
    preset: "saturated",
    workload: { ...calm, kinds, duration: SATURATED_TIME, curve: () => factor },
    faults: [],
  };
}

/** Generates all traces. */
export function generateTraces(seed: number): GeneratedTrace[] {
  const plans = [
    ...plansOf({
      name: "association",
      deployment: ASSOCIATION_DEPLOYMENT,
      calm: ASSOCIATION_CALM,
      peak: ASSOCIATION_PEAK,
      presets: { calm: "day", peak: "peak" },
      service: "entry-model",
      zones: ["sofia-c", "sofia-a"],
    }),
    ...plansOf({
      name: "kortfilm",
      deployment: KORTFILM_DEPLOYMENT,
      calm: KORTFILM_CALM,
      peak: KORTFILM_PEAK,
      presets: { calm: "night", peak: "morning" },
      service: "samphire-pool",
      zones: ["gent-a", "antw-a"],
    }),
  ];
  return plans.map((plan) => ({ name: plan.name, text: generate(plan, seed) }));
}

function generate(plan: Plan, seed: number): string {
  const { name, deployment, preset, workload, faults, keep } = plan;
  const arrivals = drawArrivals(workload, seed).filter((arrival) => keep?.(arrival) ?? true);
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
  const read = parseTrace(write({ lost: 0, services: {} }), name);
  if (read.kind === "unreadable") throw new Error(`${name}:${read.line}: ${read.message}`);
  return write(outcomesOf(plan, read.trace));
}

/** Outcomes follow from the targets and from the trace itself, never from what a replay came to. */
function outcomesOf(plan: Plan, trace: Trace): object {
  const saturated = plan.answered === undefined;
  const { deployment } = trace.header;
  const groups = new Set(
    trace.arrivals.map(({ s, l }) => `${s}/${l ?? deployment.services[s]?.lane ?? "script"}`),
  );
  const service = {
    firstToken: WITHIN_TARGET,
    betweenTokens: WITHIN_TARGET,
    ...(saturated ? {} : { answered: plan.answered }),
  };
  return {
    lost: 0,
    recomputed: recomputedBound(plan, trace),
    ...(saturated
      ? { goodput: Math.floor(GOODPUT_OVER_BEST * bestGoodput(trace)) }
      : { cost: round(COST_OVER_BOUND * lowerBoundOf(trace).total) }),
    services: Object.fromEntries([...groups].sort().map((group) => [group, service])),
  };
}

function recomputedBound({ recomputedPart }: Plan, trace: Trace): number {
  const strike = trace.faults.find(({ kind }) => kind === "reclaim" || kind === "slow");
  if (strike === undefined) {
    const all = trace.arrivals.reduce((sum, { p, n }) => sum + p + n, 0);
    return Math.floor(recomputedPart * all);
  }
  const { services, zones } = trace.header.deployment;
  const within = strike.kind === "slow" ? [strike.service] : Object.keys(services);
  const parts = strike.kind === "slow" ? 1 : zones.length;
  return Math.floor((recomputedPart * inProgressAt(trace, strike.t, within)) / parts);
}

/** Prompt and answer tokens of what is in progress at a time if each request runs at the usual pace. */
function inProgressAt(trace: Trace, at: number, services: readonly string[]): number {
  return trace.arrivals.reduce((sum, { t, s, p, n }) => {
    const produced = (at - t) / TOKEN_TIME;
    const running = services.includes(s) && produced >= 0 && produced < n;
    return running ? sum + p + produced : sum;
  }, 0);
}

/** Answer tokens a second if all workers always ran full batches and computed each prompt's own part. */
function bestGoodput(trace: Trace): number {
  const { presets, machineClasses } = trace.header.deployment;
  const services = new Set(trace.arrivals.map(({ s }) => s));
  const bounds = presets[trace.header.preset]?.services ?? {};
  const workers = [...services].reduce((sum, name) => sum + (bounds[name]?.most ?? 0), 0);
  const answer = trace.arrivals.reduce((sum, { n }) => sum + n, 0);
  const prompt = trace.arrivals.reduce((sum, { p, xt }) => sum + p - (xt ?? 0), 0);
  const speeds = machineClasses["standard"];
  if (speeds === undefined) return 0;
  const time = answer / speeds.tokensPerSecond + prompt / speeds.prefillPerSecond;
  return (workers * answer) / time;
}

function round(euros: number): number {
  return Math.round(euros * 1_000) / 1_000;
}
