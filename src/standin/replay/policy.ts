import { createScheduler, planFleet, triage, TriageChoice } from "../../decision/index.ts";
import type { FleetPlan, FleetView, Policy, Scheduler } from "../../decision/index.ts";
import type { TriageDecision, TriageView, TriageRequest } from "../../decision/index.ts";
import { Purchase } from "../../interface/index.ts";
import { createBaselineScheduler, leastOutstanding, roundRobin } from "./baseline_scheduler.ts";

/** Names of the policies that a replay can run. */
export enum PolicyName {
  /** The decisions that the software uses. */
  Current = "current",
  /** Admits every request and dispatches it at once, to each worker in turn. */
  RoundRobin = "round-robin",
  /**
   * Admits every request and dispatches it at once, to the worker with the fewest requests of this
   * instance.
   */
  LeastOutstanding = "least-outstanding",
  /** Like `Current`, but launches on-demand workers only. */
  OnDemandOnly = "on-demand-only",
  /** Like `Current`, but requests on a reclaimed worker restart from their prompts. */
  RestartOnReclaim = "restart-on-reclaim",
}

/** The decisions that a replay uses. */
export interface ReplayPolicy {
  readonly name: PolicyName;
  readonly createScheduler: (policy: Policy) => Scheduler;
  readonly triage: (requests: readonly TriageRequest[], view: TriageView) => TriageDecision[];
  readonly planFleet: (view: FleetView) => FleetPlan;
  /** Whether a request continues from the tokens that its caller has. */
  readonly canResume: boolean;
}

const CURRENT: ReplayPolicy = {
  name: PolicyName.Current,
  createScheduler,
  triage,
  planFleet,
  canResume: true,
};

/** Returns the policy with a name. */
export function getPolicy(name: PolicyName): ReplayPolicy {
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

function stayAll(requests: readonly TriageRequest[]): TriageDecision[] {
  return requests.map(({ id }) => ({ id, choice: TriageChoice.Stay }));
}
