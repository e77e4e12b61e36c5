import { Command, Flags } from "@oclif/core";
import type { RoutedStatus } from "../process/routed_status.ts";
import { fetchRoutedStatus } from "./fetch_routed_status.ts";
import { formatTable } from "./text_table.ts";

const PERCENT = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const SLOWNESS_DECIMALS = 2;

/** `samphireshore routed`: shows the status of an entry instance that serves routed requests. */
export class Routed extends Command {
  static override description =
    "Show the state of an entry instance that serves routed requests: the instances, routes and workers that it knows, and the requests running on each worker. Exits with 2 if it doesn't respond.";
  static override examples = ["samphireshore routed --metrics 10.1.0.14:7600"];
  static override enableJsonFlag = true;
  static override flags = {
    metrics: Flags.string({
      description: "IP:PORT of the entry instance's metrics listener.",
      required: true,
    }),
  };

  override async run(): Promise<RoutedStatus> {
    const { flags } = await this.parse(Routed);
    const status = await fetchRoutedStatus(this, flags.metrics);
    this.printStatus(status);
    return status;
  }

  private printStatus(status: RoutedStatus): void {
    const { instance, zone, routing, inProgress } = status;
    const state = status.stopping ? "stopping" : status.ready ? "ready" : "not ready";
    const store = status.reachesStore ? "reached" : "not reached";
    this.log(
      `${instance} in ${zone}: ${state}, configuration ${routing ?? "unknown"}, ${inProgress} in progress, store ${store}${status.holdsLease ? ", holds the lease" : ""}`,
    );
    const instances = status.instances.map((member) => [
      member.name,
      member.zone,
      member.callers,
      member.ready ? "ready" : "not ready",
      member.reachesStore ? "" : "store not reached",
      member.holdsLease ? "lease" : "",
      member.age === undefined ? "via peers" : `${member.age} ms`,
    ]);
    this.log(
      formatTable([["INSTANCE", "ZONE", "CALLERS", "STATE", "", "", "LAST MESSAGE"], ...instances]),
    );
    const routes = status.routes.map((route) => [
      route.name,
      route.host + route.pathPrefix,
      route.services.join(", "),
      `${route.timeout} ms`,
      String(route.attempts),
    ]);
    this.log(formatTable([["ROUTE", "PREFIX", "SERVICES", "TIMEOUT", "ATTEMPTS"], ...routes]));
    if (status.quarantine.length > 0) {
      const quarantined = status.quarantine.map(({ print, crashes, since }) => [
        print,
        String(crashes),
        `${Math.round(since / MILLISECONDS_PER_SECOND)} s ago`,
      ]);
      this.log(formatTable([["QUARANTINED", "CRASHES", "SINCE"], ...quarantined]));
    }
    if (status.quotas.length > 0) {
      const accounts = status.quotas.map((account) => [
        account.name,
        String(account.level),
        String(account.reserve),
        String(account.admitted),
        String(account.refused),
      ]);
      this.log(formatTable([["ACCOUNT", "LEVEL", "RESERVE", "ADMITTED", "REFUSED"], ...accounts]));
    }
    const workers = status.workers.map((worker) => [
      worker.id,
      worker.service,
      worker.version,
      worker.zone,
      worker.purchase,
      worker.leaving ? "leaving" : "",
      String(worker.running),
      `${Math.round(worker.failing * PERCENT)} %`,
      worker.slowness.toFixed(SLOWNESS_DECIMALS),
      worker.limit === undefined ? "" : `${worker.limit} per second`,
      worker.part ?? "",
    ]);
    const headings = [
      "WORKER",
      "SERVICE",
      "VERSION",
      "ZONE",
      "PURCHASE",
      "",
      "RUNNING",
      "FAILING",
      "SLOWNESS",
      "LIMIT",
      "PART",
    ];
    this.log(formatTable([headings, ...workers]));
  }
}
