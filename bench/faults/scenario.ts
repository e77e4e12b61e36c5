import { createSeededRandom } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";

/** A request of the workload. */
export interface Demand {
  /** Milliseconds after the fleet has formed. */
  readonly at: number;
  /** Index of the entry instance that the caller goes to. */
  readonly instance: number;
  readonly repeatable: boolean;
  readonly detached: boolean;
  /** Demands with the same key are the same request, brought again. */
  readonly key?: string;
  readonly tokens: number;
}

/** One fault; times in milliseconds after the fleet has formed. */
export type Fault =
  | { readonly kind: "kill" | "reclaim"; readonly at: number; readonly instance: number }
  | { readonly kind: "zone-reclaim"; readonly at: number; readonly zone: number }
  | {
      readonly kind: "freeze";
      readonly at: number;
      readonly instance: number;
      readonly span: number;
    }
  | {
      readonly kind: "cut";
      readonly at: number;
      readonly a: number;
      readonly b: number;
      readonly span: number;
    }
  | { readonly kind: "silence"; readonly at: number; readonly a: number; readonly b: number }
  | {
      readonly kind: "lose-answers";
      readonly at: number;
      readonly a: number;
      readonly b: number;
      readonly count: number;
    }
  | { readonly kind: "store-down"; readonly at: number; readonly span: number }
  | { readonly kind: "store-loses-answers"; readonly at: number; readonly count: number }
  | { readonly kind: "watches-silent"; readonly at: number }
  | {
      readonly kind: "worker-kill" | "worker-silence";
      readonly at: number;
      readonly worker: number;
    }
  | { readonly kind: "operators"; readonly at: number };

/** What one seed plays. */
export interface Scenario {
  readonly seed: number;
  readonly instances: number;
  readonly workers: number;
  readonly demands: readonly Demand[];
  readonly faults: readonly Fault[];
}

/** Number of availability zones that the instances are spread over. */
export const ZONES = 3;

const SPAN = 6_000;
const LONGEST_FAULT = 9_000;
const DEMANDS = 10;
const MOST_TOKENS = 60;

/** Draws a scenario; a seed always draws the same. */
export function drawScenario(seed: number): Scenario {
  const random = createSeededRandom(seed);
  const instances = 3 + below(random, 3);
  const workers = 2 + below(random, 2);
  const demands = Array.from({ length: DEMANDS }, (_, index) =>
    drawDemand(random, { instances, index }),
  );
  const count = 1 + below(random, 4);
  const faults = Array.from({ length: count }, () => drawFault(random, { instances, workers }));
  return {
    seed,
    instances,
    workers,
    demands: [...demands, ...demands.flatMap((demand) => again(random, { demand, instances }))],
    faults: faults.sort((one, other) => one.at - other.at),
  };
}

function drawDemand(
  random: Random,
  { instances, index }: { instances: number; index: number },
): Demand {
  const demand = {
    at: below(random, SPAN),
    instance: below(random, instances),
    repeatable: random.next() < 0.5,
    detached: random.next() < 0.2,
    tokens: 1 + below(random, MOST_TOKENS),
  };
  return random.next() < 0.6 ? { ...demand, key: `key-${index}` } : demand;
}

/** A caller that brings its key a second time, to any instance. */
function again(
  random: Random,
  { demand, instances }: { demand: Demand; instances: number },
): Demand[] {
  if (demand.key === undefined || random.next() < 0.5) return [];
  return [{ ...demand, at: demand.at + below(random, 3_000), instance: below(random, instances) }];
}

function drawFault(
  random: Random,
  { instances, workers }: { instances: number; workers: number },
): Fault {
  const at = below(random, SPAN);
  const instance = below(random, instances);
  const span = 200 + below(random, LONGEST_FAULT);
  const a = instance;
  const b = (instance + 1 + below(random, instances - 1)) % instances;
  const count = 1 + below(random, 5);
  const worker = below(random, workers - 1);
  const kinds: readonly Fault[] = [
    { kind: "kill", at, instance },
    { kind: "reclaim", at, instance },
    { kind: "zone-reclaim", at, zone: below(random, ZONES) },
    { kind: "freeze", at, instance, span },
    { kind: "cut", at, a, b, span },
    { kind: "silence", at, a, b },
    { kind: "lose-answers", at, a, b, count },
    { kind: "store-down", at, span },
    { kind: "store-loses-answers", at, count },
    { kind: "watches-silent", at },
    { kind: "worker-kill", at, worker },
    { kind: "worker-silence", at, worker },
    { kind: "operators", at },
  ];
  return kinds[below(random, kinds.length)] ?? { kind: "watches-silent", at };
}

function below(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
