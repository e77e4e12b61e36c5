import type { RolloutVerdict } from "../decision/index.ts";
import type { ServiceRollout } from "./rollout_view.ts";
import type { RoutedStatus } from "./routed_status.ts";

/**
 * Returns the status of a rollout order as shown to operators.
 *
 * @param options The lease holder's verdict, undefined on other instances, and the time in milliseconds since the Unix
 * epoch.
 */
export function rolloutStatus(
  { entry, state, served, startedAt, phase, sent }: ServiceRollout,
  { verdict, now }: { verdict: RolloutVerdict | undefined; now: number },
): RoutedStatus["rollouts"][number] {
  const { service, to, duration } = entry.order;
  return {
    service,
    to,
    base: served?.base ?? "",
    state,
    phase,
    since: startedAt === undefined ? undefined : Math.round(now - startedAt),
    duration,
    sent: sent.all,
    tried: sent.tried,
    verdict: verdict === undefined ? undefined : verdictText(verdict),
    evidence: verdict?.evidence,
  };
}

function verdictText(verdict: RolloutVerdict): string {
  if (verdict.kind === "open") return verdict.kind;
  const where = verdict.route === "" ? "" : ` on ${verdict.route}`;
  return `${verdict.fault}${where}`;
}
