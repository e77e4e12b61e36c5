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
 * Time to live of a plan, in milliseconds. Without a newer plan, the version may have become bad in the meantime, so
 * an instance sends no requests to it. The value covers the three digests that a plan takes to reach every instance,
 * one of which may be lost.
 */
const PLAN_TTL = 1_500;

/** The latest rollout plan of each service that an instance has received. */
export interface RolloutPlans {
  /** Applies plans received from another instance, or issued by this one with age 0. */
  update(plans: readonly RolloutPlan[], now: number): void;
  /** Returns the current plan for an order; undefined if there is none or it has expired. */
  find(order: { service: string; to: string }, now: number): RolloutPlan | undefined;
  /** Lists the plans that haven't expired, to be forwarded to other instances. */
  list(now: number): RolloutPlan[];
  /** Removes the plan of a service whose order has ended. */
  forget(service: string): void;
}

/** Creates an empty set of plans. */
export function createRolloutPlans(): RolloutPlans {
  const latest = new Map<string, { plan: RolloutPlan; issuedAt: number }>();
  const isFresh = (issuedAt: number, now: number): boolean => now - issuedAt < PLAN_TTL;
  return {
    update: (plans, now) => {
      for (const plan of plans) {
        const previous = latest.get(plan.service);
        const issuedAt = now - plan.age;
        if (!isFresh(issuedAt, now)) continue;
        const isNewer =
          previous === undefined ||
          plan.fence > previous.plan.fence ||
          (plan.fence === previous.plan.fence && issuedAt > previous.issuedAt);
        if (isNewer) latest.set(plan.service, { plan, issuedAt });
      }
    },
    find: ({ service, to }, now) => {
      const found = latest.get(service);
      if (found?.plan.to !== to) return undefined;
      return isFresh(found.issuedAt, now) ? found.plan : undefined;
    },
    list: (now) =>
      [...latest.values()]
        .filter(({ issuedAt }) => isFresh(issuedAt, now))
        .map(({ plan, issuedAt }) => ({ ...plan, age: now - issuedAt })),
    forget: (service) => void latest.delete(service),
  };
}
