import type { WorkerPath } from "../connection/worker_path.ts";
import type { WorkerRelay } from "../connection/worker_relay.ts";
import type { AccountShares } from "../decision/index.ts";
import type { Clock, WorkerConnections } from "../interface/index.ts";
import type { RoutedRequests } from "../request/routed_service.ts";
import type { RouteTable } from "../version/index.ts";
import type { CrashQuarantine } from "./crash_quarantine.ts";
import type { FleetSync } from "./fleet_sync.ts";
import type { LongPromptWorkers } from "./long_prompt_workers.ts";
import type { RoutedMetricsRegistry } from "./routed_metrics.ts";
import type { RoutedWorkerTable } from "./routed_worker_table.ts";
import type { WorkerEntry } from "./worker_selection.ts";

/** The parts of an instance whose values are shown as gauges. */
export interface GaugeSources {
  readonly requests: Pick<RoutedRequests, "inProgress">;
  /** Returns undefined until the first configuration is received. */
  readonly table: () => RouteTable | undefined;
  readonly fleet: Pick<FleetSync, "members" | "bytesSent">;
  readonly quarantine: Pick<CrashQuarantine, "list">;
  readonly relay: Pick<WorkerRelay, "openCount" | "openedCount" | "bytes">;
  readonly path: Pick<WorkerPath, "lostCount">;
  readonly connections: Pick<WorkerConnections, "openedCount">;
  readonly workerTable: Pick<RoutedWorkerTable, "overview">;
  readonly longPrompts: Pick<LongPromptWorkers<WorkerEntry>, "numbers">;
  readonly shares: Pick<AccountShares, "statuses">;
  readonly clock: Pick<Clock, "now">;
}

/** Registers the gauges of an instance that serves routed requests. */
export function addRoutedGauges(
  metrics: Pick<RoutedMetricsRegistry, "addGauge" | "addServiceGauge">,
  sources: GaugeSources,
): void {
  const { requests, table, fleet, quarantine, relay, path, connections } = sources;
  const { workerTable, longPrompts, shares, clock } = sources;
  metrics.addGauge(
    "samphireshore_requests_in_progress",
    "Requests not ended.",
    () => requests.inProgress,
  );
  metrics.addGauge(
    "samphireshore_routing_version",
    "Configuration in force.",
    () => table()?.routing.version ?? 0,
  );
  metrics.addGauge("samphireshore_members", "Entry instances expected.", () => fleet.members);
  metrics.addGauge(
    "samphireshore_quarantined_requests",
    "Requests that no worker gets, since workers crashed when they ran them.",
    () => quarantine.list().length,
  );
  metrics.addGauge(
    "samphireshore_digest_bytes",
    "Bytes of digests sent to other instances.",
    () => fleet.bytesSent,
  );
  metrics.addGauge(
    "samphireshore_relayed_connections",
    "Connections to workers that are open for other instances.",
    () => relay.openCount,
  );
  metrics.addGauge(
    "samphireshore_relayed_connections_opened",
    "Connections to workers opened for other instances.",
    () => relay.openedCount,
  );
  metrics.addGauge(
    "samphireshore_relayed_bytes",
    "Bytes exchanged with other instances on relayed connections.",
    () => relay.bytes,
  );
  metrics.addGauge(
    "samphireshore_worker_path_lost",
    "1 if connections to any worker go through other instances, otherwise 0.",
    () => (path.lostCount > 0 ? 1 : 0),
  );
  metrics.addGauge(
    "samphireshore_worker_paths_lost",
    "Workers to which connections go through other instances.",
    () => path.lostCount,
  );
  metrics.addGauge(
    "samphireshore_worker_connections_opened",
    "Connections opened.",
    () => connections.openedCount,
  );
  metrics.addGauge(
    "samphireshore_accounts_over_share",
    "Pairs of an account and a service under pressure in which the account is above its share.",
    () =>
      shares
        .statuses(clock.now())
        .filter(({ isUnderPressure, use, share }) => isUnderPressure && use > share).length,
  );
  metrics.addServiceGauge(
    "samphireshore_long_prompt_workers",
    "Workers to which long prompts are sent, by service.",
    () => longPrompts.numbers(),
  );
  metrics.addGauge(
    "samphireshore_slow_workers",
    "Workers whose times to first events are significantly above those of usual workers of their service.",
    () => workerTable.overview().filter(({ slowness }) => slowness > 1).length,
  );
}
