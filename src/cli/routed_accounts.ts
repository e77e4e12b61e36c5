import { Command, Flags } from "@oclif/core";
import type { RoutedStatus } from "../process/routed_status.ts";
import { fetchRoutedStatus } from "./fetch_routed_status.ts";
import { formatTable } from "./text_table.ts";

const PERCENT = 100;

/** `samphireshore routed accounts`: shows the accounts' shares of the services. */
export class RoutedAccounts extends Command {
  static override description =
    "Show the accounts' weights, reserved shares, shares and use of each service, as known to one entry instance, and the requests that this instance has refused because of the share. Exits with 2 if it doesn't respond.";
  static override examples = ["samphireshore routed accounts --metrics 10.1.0.14:7600"];
  static override enableJsonFlag = true;
  static override flags = {
    metrics: Flags.string({
      description: "IP:PORT of the entry instance's metrics listener.",
      required: true,
    }),
  };

  override async run(): Promise<RoutedStatus["accounts"]> {
    const { flags } = await this.parse(RoutedAccounts);
    const { accounts } = await fetchRoutedStatus(this, flags.metrics);
    const headings = [
      "SERVICE",
      "ACCOUNT",
      "WEIGHT",
      "RESERVED",
      "SHARE",
      "USE",
      "PRESSURE",
      "REFUSED",
    ];
    const rows = accounts.map((status) => [
      status.service,
      status.account === "" ? "(none)" : status.account,
      String(status.weight),
      formatPercent(status.reservedShare),
      formatPercent(status.share),
      formatPercent(status.use),
      status.isUnderPressure ? "yes" : "",
      String(status.refused),
    ]);
    this.log(formatTable([headings, ...rows]));
    return accounts;
  }
}

function formatPercent(fraction: number): string {
  return `${Math.round(fraction * PERCENT)} %`;
}
