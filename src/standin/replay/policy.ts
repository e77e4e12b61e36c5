import { createScheduler, planFleet, triage, TriageChoice } from "../../decision/index.ts";
import type { FleetPlan, FleetView, Policy, Scheduler } from "../../decision/index.ts";
import type { Triage, TriageView, Endangered } from "../../decision/index.ts";
import { Purchase } from "../../interface/index.ts";
import { createBaselineScheduler, leastOutstanding, roundRobin } from "./baseline_scheduler.ts";

/** The policies that a replay can measure. */
export enum PolicyName {
  /** The decisions as an entry instance uses them. */
  Current = "current",
  /** Every request is let in and sent at once, to each worker in turn. */
  RoundRobin = "round-robin",
  /** Every request is let in and sent at once, to the worker with the fewest of the instance's own. */
  LeastOutstanding = "least-outstanding",
  /** As current, but the fleet is bought on demand alone. */
  OnDemandOnly = "on-demand-only",
  /** As current, but what a reclaim cuts begins again from its prompt. */
  RestartOnReclaim = "restart-on-reclaim",
}

/** The decisions that a replay plays a trace through. */
export interface ReplayPolicy {
  readonly name: PolicyName;
  readonly createScheduler: (policy: Policy) => Scheduler;
  readonly triage: (requests: readonly Endangered[], view: TriageView) => Triage[];
  readonly planFleet: (view: FleetView) => FleetPlan;
  /** Whether a request goes on from the tokens that its caller has. */
  readonly canResume: boolean;
}

const CURRENT: ReplayPolicy = {
  name: PolicyName.Current,
  createScheduler,
  triage,
  planFleet,
  canResume: true,
};

/** The policy of a name. */
export function policyOf(name: PolicyName): ReplayPolicy {
  switch (name) {
    case PolicyName.Current:
      return CURRENT;
    case PolicyName.RoundRobin:
      return { ...CURRENT, name, createScheduler: () => createBaselineScheduler(roundRobin()) };
    case PolicyName.LeastOutstanding:
      return { ...CURRENT, name, createScheduler: () => createBaselineScheduler(leastOutstanding) };
    case PolicyName.OnDemandOnly:
      return { ...CURRENT, name, planFleet: planOnDemand };
    case PolicyName.RestartOnReclaim:
      return { ...CURRENT, name, triage: stayAll, canResume: false };
  }
}

function planOnDemand(view: FleetView): FleetPlan {
  const pools = view.pools.filter((pool) => pool.purchase === Purchase.OnDemand);
  const services = view.services.map((service) => ({ ...service, reclaimable: 0 }));
  return planFleet({ ...view, pools, services });
}

function stayAll(requests: readonly Endangered[]): Triage[] {
  return requests.map(({ id }) => ({ id, choice: TriageChoice.Stay }));
}
