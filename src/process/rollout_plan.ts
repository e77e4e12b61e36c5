import { RolloutPhase } from "../decision/index.ts";

/** How a version on trial is used at the moment, as decided by the lease holder and sent to all instances. */
export interface RolloutPlan {
  readonly service: string;
  /** The version on trial. */
  readonly to: string;
  /** Fencing token of the lease holder; increases with each new holder. */
  readonly fence: number;
  readonly phase: RolloutPhase;
  /** Milliseconds since the lease holder issued the plan. */
  readonly age: number;
  /** Time of the rollout order, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
}

/**
 * Time to live of a plan, in milliseconds. Without a newer plan an instance can't know whether the version has become
 * bad meanwhile, so it sends no requests to it. The value covers the three digests that a plan takes to reach every
 * instance, one of which may be lost.
 */
const PLAN_LIFE = 1_500;

/** The latest rollout plan of each service that an instance has received. */
export interface RolloutPlans {
  /** Applies plans received from another instance, or issued by this one with age 0. */
  heard(plans: readonly RolloutPlan[], now: number): void;
  /** Returns the current plan for an order; undefined if there is none or it has expired. */
  find(order: { service: string; to: string }, now: number): RolloutPlan | undefined;
  /** Lists the plans that haven't expired, to be forwarded to other instances. */
  list(now: number): RolloutPlan[];
  /** Removes the plan of a service whose order has ended. */
  forget(service: string): void;
}

/** Creates an empty set of plans. */
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
