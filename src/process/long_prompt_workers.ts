import {
  createLongPromptNumber,
  createLongPromptSelection,
  isolationRuleOf,
  PROCESSING_TIME_COUNTS,
  processingLoad,
  partForPrompt,
  WorkerPart,
} from "../decision/index.ts";
import type {
  CountKey,
  IsolatedRoute,
  IsolationRule,
  LongPromptNumber,
  LongPromptSelection,
  SharedCounts,
} from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";
import { Delivery, hashText, leadsTo } from "../version/index.ts";
import type { Route, Routing } from "../version/index.ts";

/** A prompt for which workers are selected. */
export interface SeparatedPrompt {
  /** Name of its route. */
  readonly route: string;
  /** Tokens of the whole prompt, cached parts included. */
  readonly tokens: number;
  /** Prompt tokens that the service's workers process per millisecond; undefined without engines. */
  readonly prefillRate: number | undefined;
}

/** A change of the number of long-prompt workers. */
export interface LongPromptWorkersChange {
  readonly service: string;
  readonly number: number;
  /** Number of the service's workers that aren't leaving and have a version that serves. */
  readonly workers: number;
  /** Milliseconds per second for which workers process long prompts, and other prompts. */
  readonly longLoad: number;
  readonly otherLoad: number;
}

/** The workers of each service to which long prompts go, if the service has a relaxed route. */
export interface LongPromptWorkers<W> {
  /** Sets the routes and services, on which the rules depend. */
  setRouting(routing: Pick<Routing, "routes" | "services">): void;
  /** Whether the service has a relaxed route. */
  separates(service: string): boolean;
  /** Returns the part of the workers that a prompt is intended for; undefined without a relaxed route. */
  partFor(service: string, prompt: SeparatedPrompt): WorkerPart | undefined;
  /** Records a run that begins. `prefillTokens` is the number of prompt tokens that its worker has to process. */
  recordRun(service: string, run: SeparatedPrompt & { readonly prefillTokens: number }): void;
  /**
   * Returns the service's workers for long prompts; undefined if its prompts are not separated.
   *
   * @param workers The registered workers; a changed list is a different array.
   * @param isUsable Whether a worker may receive requests, apart from short pauses.
   */
  select(
    service: string,
    workers: readonly W[],
    isUsable: (worker: W) => boolean,
  ): ReadonlySet<W> | undefined;
  /** Returns the last number of long-prompt workers of each service with a relaxed route. */
  numbers(): ReadonlyMap<string, number>;
}

/** Dependencies of {@linkcode createLongPromptWorkers}. */
export interface LongPromptWorkersParts {
  readonly clock: Clock;
  readonly sharedCounts: Pick<SharedCounts, "track" | "add" | "recent">;
  /** Returns the number of expected instances, this one included. */
  readonly instanceCount: () => number;
  /** Whether this instance receives from no other one although others are expected. */
  readonly isAlone: () => boolean;
  /** Called when the number of a service has changed, at most once a second per service. */
  readonly onChange: (change: LongPromptWorkersChange) => void;
}

/** Interval at which the number of workers is computed again, in milliseconds: a part of a digest's age. */
const UPDATE_INTERVAL = 100;
/** Minimum interval between two reported changes of a service, in milliseconds. */
const REPORT_INTERVAL = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** The processing time of the prompts of one part of the workers. */
interface ProcessingTime {
  /** Key under which that of all instances is counted. */
  readonly key: CountKey;
  /** This instance's own in milliseconds, decayed to the time of the last run. */
  own: { value: number; at: number };
}

/** The separation in one service. */
interface SeparatedService<W> {
  rule: IsolationRule;
  readonly times: Readonly<Record<WorkerPart, ProcessingTime>>;
  readonly demand: LongPromptNumber;
  readonly selection: LongPromptSelection<W>;
  /** Its registered workers and the number that may be used, when the number was computed. */
  workers: readonly W[];
  usable: number;
  number: number;
  updatedAt: number;
  reported: { number: number; at: number };
}

/** Creates the separation for a configuration without routes: nothing is separated. */
export function createLongPromptWorkers<W extends { readonly hash: number }>(
  parts: LongPromptWorkersParts,
): LongPromptWorkers<W> {
  const { clock, sharedCounts, instanceCount, isAlone, onChange } = parts;
  let services = new Map<string, SeparatedService<W>>();
  const loadOf = ({ key, own }: ProcessingTime, now: number): number =>
    isAlone()
      ? processingLoad(decayed(own, now)) * instanceCount()
      : processingLoad(sharedCounts.recent(key, now).value);
  const update = (
    service: string,
    found: SeparatedService<W>,
    { workers, isUsable }: { workers: readonly W[]; isUsable: (worker: W) => boolean },
  ): void => {
    const now = clock.now();
    if (workers === found.workers && now - found.updatedAt < UPDATE_INTERVAL) return;
    const longPrompts = loadOf(found.times[WorkerPart.LongPrompts], now);
    const otherPrompts = loadOf(found.times[WorkerPart.OtherPrompts], now);
    const usable = workers.filter(isUsable).length;
    const number = found.demand.update({ longPrompts, otherPrompts, workers: usable }, now);
    Object.assign(found, { workers, usable, number, updatedAt: now });
    const { reported } = found;
    if (number === reported.number || now - reported.at < REPORT_INTERVAL) return;
    found.reported = { number, at: now };
    const longLoad = Math.round(longPrompts * MILLISECONDS_PER_SECOND);
    const otherLoad = Math.round(otherPrompts * MILLISECONDS_PER_SECOND);
    onChange({ service, number, workers: usable, longLoad, otherLoad });
  };
  return {
    setRouting: (routing) => {
      const kept = new Map<string, SeparatedService<W>>();
      for (const [service, rule] of rulesOf(routing)) {
        const found = services.get(service) ?? createService<W>(service, rule);
        found.rule = rule;
        for (const { key } of Object.values(found.times))
          sharedCounts.track(key, PROCESSING_TIME_COUNTS);
        kept.set(service, found);
      }
      services = kept;
    },
    separates: (service) => services.has(service),
    partFor: (service, prompt) => {
      const rule = services.get(service)?.rule;
      if (rule === undefined || prompt.prefillRate === undefined) return undefined;
      return partOf(rule, prompt);
    },
    recordRun: (service, run) => {
      const found = services.get(service);
      if (found === undefined || run.prefillRate === undefined) return;
      const time = found.times[partOf(found.rule, run)];
      const now = clock.now();
      const value = run.prefillTokens / run.prefillRate;
      time.own = { value: decayed(time.own, now) + value, at: now };
      sharedCounts.add(time.key, { value, base: 0 }, now);
    },
    select: (service, workers, isUsable) => {
      const found = services.get(service);
      if (found === undefined) return undefined;
      update(service, found, { workers, isUsable });
      const { number: count, usable } = found;
      if (count === 0) return undefined;
      return found.selection.select(workers, { count, usable, isUsable });
    },
    numbers: () => new Map([...services].map(([service, { number }]) => [service, number])),
  };
}

/** Returns the rules of the services that have one. Only engines process prompts. */
function rulesOf({
  routes,
  services,
}: Pick<Routing, "routes" | "services">): ReadonlyMap<string, IsolationRule> {
  const rules = new Map<string, IsolationRule>();
  for (const { name, engine } of services) {
    if (engine === undefined) continue;
    const rule = isolationRuleOf(routes.filter((route) => leadsTo(route, name)).map(isolatedRoute));
    if (rule !== undefined) rules.set(name, rule);
  }
  return rules;
}

function isolatedRoute({ name, latencyTarget, delivery }: Route): IsolatedRoute {
  return { name, latencyTarget, deliversEvents: delivery === Delivery.Events };
}

function createService<W extends { readonly hash: number }>(
  service: string,
  rule: IsolationRule,
): SeparatedService<W> {
  return {
    rule,
    times: {
      [WorkerPart.LongPrompts]: createTime(`${WorkerPart.LongPrompts}:${service}`),
      [WorkerPart.OtherPrompts]: createTime(`${WorkerPart.OtherPrompts}:${service}`),
    },
    demand: createLongPromptNumber(),
    selection: createLongPromptSelection(),
    workers: [],
    usable: 0,
    number: 0,
    updatedAt: -Infinity,
    reported: { number: 0, at: -Infinity },
  };
}

function createTime(name: string): ProcessingTime {
  return { key: hashText(name), own: { value: 0, at: 0 } };
}

function partOf(rule: IsolationRule, { route, tokens, prefillRate }: SeparatedPrompt): WorkerPart {
  return partForPrompt(rule, { route, processingTime: tokens / (prefillRate ?? Infinity) });
}

function decayed({ value, at }: { value: number; at: number }, now: number): number {
  return value * 2 ** (-(now - at) / PROCESSING_TIME_COUNTS.halfLife);
}
