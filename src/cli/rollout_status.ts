import { Args, Command, Flags } from "@oclif/core";
import type { RoutedStatus } from "../process/routed_status.ts";
import { fetchRoutedStatus } from "./fetch_routed_status.ts";
import { formatTable } from "./text_table.ts";

const MILLISECONDS_PER_SECOND = 1_000;

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
    const rollouts = status.rollouts.filter(
      ({ service }) => args.service === undefined || service === args.service,
    );
    if (rollouts.length === 0 && args.service !== undefined) {
      this.error(`No rollout has been ordered for the service ${args.service}.`, { exit: 1 });
    }
    const rows = rollouts.map((rollout) => [
      rollout.service,
      `${rollout.base} to ${rollout.to}`,
      rollout.state ?? "not started",
      rollout.phase ?? "",
      rollout.since === undefined
        ? ""
        : `${formatSeconds(rollout.since)} of ${formatSeconds(rollout.duration)}`,
      `${rollout.tried} of ${rollout.sent}`,
      rollout.verdict === undefined
        ? ""
        : `${rollout.verdict} (${(rollout.evidence ?? 0).toFixed(1)})`,
    ]);
    const headings = [
      "SERVICE",
      "VERSIONS",
      "STATE",
      "PHASE",
      "TIME",
      "SENT TO NEW VERSION",
      "VERDICT",
    ];
    this.log(formatTable([headings, ...rows]));
    return rollouts;
  }
}

function formatSeconds(milliseconds: number): string {
  return `${(milliseconds / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}
