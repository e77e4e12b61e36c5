import type { AccountShares, SharedQuota } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";
import type { RoutedRequests } from "../request/routed_service.ts";
import type { RouteTable } from "../version/index.ts";
import type { CrashQuarantine } from "./crash_quarantine.ts";
import type { FleetSync } from "./fleet_sync.ts";
import type { LeaseTask } from "./lease_task.ts";
import { rolloutStatus } from "./rollout_status.ts";
import type { RolloutTask } from "./rollout_task.ts";
import type { RolloutView } from "./rollout_view.ts";
import type { RoutedEntry } from "./routed_entry_parts.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import type { RoutedStatus } from "./routed_status.ts";
import type { RoutedWorkerTable } from "./routed_worker_table.ts";
import {
  instanceStatuses,
  quarantineStatuses,
  quotaStatuses,
  routeStatuses,
} from "./status_parts.ts";
import type { StoreView } from "./store_view.ts";

/** The parts of an instance from which its status is made. */
export interface StatusSources extends Pick<RoutedEntry, "isReady" | "isStopping"> {
  readonly settings: Pick<RoutedSettings, "name" | "zone">;
  readonly clock: Pick<Clock, "now">;
  /** Returns the synchronized time, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  readonly requests: Pick<RoutedRequests, "inProgress">;
  /** Returns undefined until the first configuration is received. */
  readonly table: () => RouteTable | undefined;
  readonly view: Pick<StoreView, "state">;
  readonly lease: Pick<LeaseTask, "held">;
  readonly fleet: Pick<FleetSync, "role" | "isFed" | "live" | "directPeers">;
  /** Undefined if the instance follows no rollouts. */
  readonly versions: Pick<RolloutView, "services" | "find"> | undefined;
  /** Undefined if the instance follows no rollouts. */
  readonly rollouts: Pick<RolloutTask, "verdict"> | undefined;
  readonly quarantine: Pick<CrashQuarantine, "list">;
  readonly quota: Pick<SharedQuota, "accounts">;
  readonly shares: Pick<AccountShares, "statuses">;
  readonly workerTable: Pick<RoutedWorkerTable, "overview">;
}

/** Returns the status of an instance and its view of the fleet, for operators. */
export function routedInstanceStatus(sources: StatusSources): RoutedStatus {
  const { settings, clock, time, requests, view, lease, fleet, quarantine, workerTable } = sources;
  const routing = sources.table()?.routing;
  return {
    instance: settings.name,
    zone: settings.zone,
    ready: sources.isReady(),
    stopping: sources.isStopping(),
    inProgress: requests.inProgress,
    routing: routing?.version,
    reachesStore: view.state().reachesStore,
    holdsLease: lease.held().length > 0,
    role: fleet.role,
    isFed: fleet.isFed(),
    instances: instanceStatuses(fleet, clock.now()),
    routes: routeStatuses(routing?.routes ?? []),
    rollouts: rolloutStatuses(sources),
    quarantine: quarantineStatuses(quarantine.list(), time()),
    quotas: quotaStatuses(sources.quota.accounts()),
    accounts: sources.shares.statuses(clock.now()),
    workers: workerTable.overview(),
  };
}

function rolloutStatuses({
  versions,
  rollouts,
  time,
}: Pick<StatusSources, "versions" | "rollouts" | "time">): RoutedStatus["rollouts"] {
  return (versions?.services() ?? []).flatMap((service) => {
    const found = versions?.find(service);
    if (found === undefined) return [];
    return [rolloutStatus(found, { verdict: rollouts?.verdict(service), now: time() })];
  });
}
