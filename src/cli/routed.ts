import { Command, Flags } from "@oclif/core";
import type { RoutedStatus } from "../process/routed_status.ts";
import { fetchRoutedStatus } from "./fetch_routed_status.ts";
import { textTable } from "./text_table.ts";

const PERCENT = 100;
const MILLISECONDS = 1_000;

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
    const found = await fetchRoutedStatus(this, flags.metrics);
    this.show(found);
    return found;
  }

  private show(found: RoutedStatus): void {
    const { instance, zone, routing, inProgress } = found;
    const state = found.stopping ? "stopping" : found.ready ? "ready" : "not ready";
    const store = found.reachesStore ? "reached" : "not reached";
    this.log(
      `${instance} in ${zone}: ${state}, configuration ${routing ?? "unknown"}, ${inProgress} in progress, store ${store}${found.holdsLease ? ", holds the lease" : ""}`,
    );
    const instances = found.instances.map((one) => [
      one.name,
      one.zone,
      one.callers,
      one.ready ? "ready" : "not ready",
      one.reachesStore ? "" : "store not reached",
      one.holdsLease ? "lease" : "",
      one.age === undefined ? "via peers" : `${one.age} ms`,
    ]);
    this.log(
      textTable([["INSTANCE", "ZONE", "CALLERS", "STATE", "", "", "LAST MESSAGE"], ...instances]),
    );
    const routes = found.routes.map((route) => [
      route.name,
      route.host + route.pathPrefix,
      route.services.join(", "),
      `${route.timeout} ms`,
      String(route.attempts),
    ]);
    this.log(textTable([["ROUTE", "PREFIX", "SERVICES", "TIMEOUT", "ATTEMPTS"], ...routes]));
    if (found.quarantine.length > 0) {
      const kept = found.quarantine.map(({ print, crashes, since }) => [
        print,
        String(crashes),
        `${Math.round(since / MILLISECONDS)} s ago`,
      ]);
      this.log(textTable([["QUARANTINED", "CRASHES", "SINCE"], ...kept]));
    }
    const workers = found.workers.map((worker) => [
      worker.id,
      worker.service,
      worker.version,
      worker.zone,
      worker.purchase,
      worker.leaving ? "leaving" : "",
      String(worker.running),
      `${Math.round(worker.failing * PERCENT)} %`,
      worker.limit === undefined ? "" : `${worker.limit} per second`,
    ]);
    const heads = [
      "WORKER",
      "SERVICE",
      "VERSION",
      "ZONE",
      "PURCHASE",
      "",
      "RUNNING",
      "FAILING",
      "LIMIT",
    ];
    this.log(textTable([heads, ...workers]));
  }
}
