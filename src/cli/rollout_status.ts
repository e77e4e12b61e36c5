import { Args, Command, Flags } from "@oclif/core";
import type { RoutedStatus } from "../process/routed_status.ts";
import { fetchRoutedStatus } from "./fetch_routed_status.ts";
import { textTable } from "./text_table.ts";

const MILLISECONDS = 1_000;

/** `samphireshore rollout status`: shows the progress of the orders to move services to other worker versions. */
export class RolloutStatus extends Command {
  static override description =
    "Show the progress of the orders to move services to other versions of their workers, as known to one entry instance. Exits with 2 if the instance doesn't respond, and with 1 if the service has no order.";
  static override examples = ["samphireshore rollout status entry-model --metrics 10.1.0.14:7600"];
  static override enableJsonFlag = true;
  static override args = {
    service: Args.string({ description: "Name of the service; all services if omitted." }),
  };
  static override flags = {
    metrics: Flags.string({
      description: "IP:PORT of the entry instance's metrics listener.",
      required: true,
    }),
  };

  override async run(): Promise<RoutedStatus["rollouts"]> {
    const { args, flags } = await this.parse(RolloutStatus);
    const status = await fetchRoutedStatus(this, flags.metrics);
    const found = status.rollouts.filter(
      ({ service }) => args.service === undefined || service === args.service,
    );
    if (found.length === 0 && args.service !== undefined) {
      this.error(`No rollout has been ordered for the service ${args.service}.`, { exit: 1 });
    }
    const rows = found.map((one) => [
      one.service,
      `${one.base} to ${one.to}`,
      one.state ?? "not started",
      one.phase ?? "",
      one.since === undefined ? "" : `${secondsOf(one.since)} of ${secondsOf(one.duration)}`,
      `${one.tried} of ${one.sent}`,
      one.verdict === undefined ? "" : `${one.verdict} (${(one.evidence ?? 0).toFixed(1)})`,
    ]);
    const heads = ["SERVICE", "VERSIONS", "STATE", "PHASE", "TIME", "TRIED HERE", "VERDICT"];
    this.log(textTable([heads, ...rows]));
    return found;
  }
}

function secondsOf(milliseconds: number): string {
  return `${(milliseconds / MILLISECONDS).toFixed(1)} s`;
}
