import { RolloutPhase } from "../decision/index.ts";

/** How a version on trial is used now, as the instance with the duty says it. */
export interface RolloutPlan {
  readonly service: string;
  /** The version on trial. */
  readonly to: string;
  /** Grows with each holder of the duty. */
  readonly fence: number;
  readonly phase: RolloutPhase;
  /** Milliseconds since the holder of the duty said so. */
  readonly age: number;
  /** When the order was given, in milliseconds since 1970. */
  readonly startedAt: number;
}

/**
 * How long a plan is gone by, in milliseconds. Whoever hears nothing newer can't know whether the version has turned bad
 * meanwhile, and gives it nothing: a plan passes three digests on its way, and one of them may be lost.
 */
const PLAN_LIFE = 1_500;

/** The plans that an instance has heard. */
export interface RolloutPlans {
  /** Takes in what another instance tells, or what this one says itself with age 0. */
  heard(plans: readonly RolloutPlan[], now: number): void;
  /** The plan for an order that is gone by now; undefined where nobody says that it goes on. */
  find(order: { service: string; to: string }, now: number): RolloutPlan | undefined;
  /** Those that are told on. */
  list(now: number): RolloutPlan[];
  /** The service's order has ended: late words of it say nothing. */
  forget(service: string): void;
}

/** Makes a set of no plans. */
export function createRolloutPlans(): RolloutPlans {
  const known = new Map<string, { plan: RolloutPlan; saidAt: number }>();
  const isFresh = (saidAt: number, now: number): boolean => now - saidAt < PLAN_LIFE;
  return {
    heard: (plans, now) => {
      for (const plan of plans) {
        const before = known.get(plan.service);
        const saidAt = now - plan.age;
        if (!isFresh(saidAt, now)) continue;
        const isLater =
          before === undefined ||
          plan.fence > before.plan.fence ||
          (plan.fence === before.plan.fence && saidAt > before.saidAt);
        if (isLater) known.set(plan.service, { plan, saidAt });
      }
    },
    find: ({ service, to }, now) => {
      const found = known.get(service);
      if (found?.plan.to !== to) return undefined;
      return isFresh(found.saidAt, now) ? found.plan : undefined;
    },
    list: (now) =>
      [...known.values()]
        .filter(({ saidAt }) => isFresh(saidAt, now))
        .map(({ plan, saidAt }) => ({ ...plan, age: now - saidAt })),
    forget: (service) => void known.delete(service),
  };
}
