import { createReceiveBudget } from "../decision/index.ts";
import type { ReceiveBudget } from "../decision/index.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RoutedMetricsRegistry } from "./routed_metrics.ts";

/** Creates a budget that logs and counts each exchange that exceeds a limit. */
export function createLoggedBudget({
  log,
  metrics,
}: {
  readonly log: RoutedLog;
  readonly metrics: Pick<RoutedMetricsRegistry, "receiveLimitExceeded">;
}): ReceiveBudget {
  return createReceiveBudget({
    onExceeded: ({ part, ...exceeded }) => {
      metrics.receiveLimitExceeded(part);
      log.fault("receive-limit", { part, ...exceeded });
    },
  });
}
