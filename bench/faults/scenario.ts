import { createSeededRandom } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";

/** A request of the workload and the caller that submits it. */
export interface CallerRequest {
  /** Milliseconds after the fleet has formed. */
  readonly at: number;
  /** Index of the entry instance that the caller connects to first. */
  readonly instance: number;
  /** Whether a second run is allowed. */
  readonly repeatable: boolean;
  /** Whether the request continues without its caller's connection. */
  readonly detached: boolean;
  /** Idempotency key: submissions with the same key are the same request. */
  readonly key?: string;
  /** Length of the answer. */
  readonly tokens: number;
}

/**
 * A fault. `at` is its start in milliseconds after the fleet has formed, `span` its duration in milliseconds; `a` and
 * `b` are the instances of a connection.
 *
 * - `kill`: an instance ends at once; `reclaim`, `zone-reclaim`: one or all instances of a zone end after a notice.
 * - `freeze`: an instance is paused.
 * - `cut`: calls between two instances get no answer; `silence`: their open connections hang permanently.
 * - `lose-answers`: the next `count` calls are executed, but their answers are lost.
 * - `store-down`: all store calls fail; `store-loses-answers`: the next `count` writes are applied, but their answers
 *   are lost; `watches-silent`: open watches receive no more events.
 * - `worker-kill`, `worker-silence`: a backend server ends, or its open connections hang permanently.
 * - `operators`: two operators switch the preset at the same time.
 */
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

/** Fleet, workload and faults of one seed. */
export interface Scenario {
  readonly seed: number;
  readonly instances: number;
  readonly workers: number;
  /** Requests of the workload. */
  readonly demands: readonly CallerRequest[];
  readonly faults: readonly Fault[];
}

/** Number of availability zones over which the instances are spread. */
export const ZONES = 3;

/**
 * Time in which all faults start and all requests are first submitted, in milliseconds. A repeat follows up to 3 s
 * later.
 */
const START_WINDOW = 6_000;
/** Maximum duration of a fault beyond its minimum of 200 ms, in milliseconds. */
const MAX_FAULT_DURATION = 9_000;
const REQUEST_COUNT = 10;
const MAX_TOKENS = 60;

/** Generates a scenario; the same seed always gives the same scenario. */
export function generateScenario(seed: number): Scenario {
  const random = createSeededRandom(seed);
  const instances = 3 + randomBelow(random, 3);
  const workers = 2 + randomBelow(random, 2);
  const demands = Array.from({ length: REQUEST_COUNT }, (_, index) =>
    generateRequest(random, { instances, index }),
  );
  const count = 1 + randomBelow(random, 4);
  const faults = Array.from({ length: count }, () => generateFault(random, { instances, workers }));
  return {
    seed,
    instances,
    workers,
    demands: [
      ...demands,
      ...demands.flatMap((request) => generateRepeat(random, { request, instances })),
    ],
    faults: faults.sort((one, other) => one.at - other.at),
  };
}

function generateRequest(
  random: Random,
  { instances, index }: { instances: number; index: number },
): CallerRequest {
  const request = {
    at: randomBelow(random, START_WINDOW),
    instance: randomBelow(random, instances),
    repeatable: random.next() < 0.5,
    detached: random.next() < 0.2,
    tokens: 1 + randomBelow(random, MAX_TOKENS),
  };
  return random.next() < 0.6 ? { ...request, key: `key-${index}` } : request;
}

/** Generates, for half of the requests with a key, a second submission to any instance. */
function generateRepeat(
  random: Random,
  { request, instances }: { request: CallerRequest; instances: number },
): CallerRequest[] {
  if (request.key === undefined || random.next() < 0.5) return [];
  return [
    {
      ...request,
      at: request.at + randomBelow(random, 3_000),
      instance: randomBelow(random, instances),
    },
  ];
}

function generateFault(
  random: Random,
  { instances, workers }: { instances: number; workers: number },
): Fault {
  const at = randomBelow(random, START_WINDOW);
  const instance = randomBelow(random, instances);
  const span = 200 + randomBelow(random, MAX_FAULT_DURATION);
  const a = instance;
  const b = (instance + 1 + randomBelow(random, instances - 1)) % instances;
  const count = 1 + randomBelow(random, 5);
  // The last backend server is never affected.
  const worker = randomBelow(random, workers - 1);
  const kinds: readonly Fault[] = [
    { kind: "kill", at, instance },
    { kind: "reclaim", at, instance },
    { kind: "zone-reclaim", at, zone: randomBelow(random, ZONES) },
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
  return kinds[randomBelow(random, kinds.length)] ?? { kind: "watches-silent", at };
}

function randomBelow(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
