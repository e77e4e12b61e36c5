import { Command } from "@oclif/core";
import { statusMessage } from "../connection/index.ts";
import type { StatusMessage } from "../connection/index.ts";
import { queryOperator, OPERATOR_FLAGS } from "./operator_client.ts";
import { formatTable } from "./text_table.ts";

/**
 * `samphireshore status`: shows the entry instances with the slots that they own and the versions in force, the
 * leaving backend servers, and the counts of refusals and retries.
 */
export class Status extends Command {
  static override description =
    "Show the slots owned by each entry instance, the versions in force on each, the leaving backend servers, and the refusals and retries by reason.";
  static override examples = [
    "samphireshore status --entry 127.0.0.1:8080 --secrets secrets.jsonc",
  ];
  static override enableJsonFlag = true;
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<StatusMessage> {
    const { flags } = await this.parse(Status);
    const call = { method: "GET", path: "/v1/operator/status", schema: statusMessage } as const;
    const status = await queryOperator(this, flags, call);
    this.printStatus(status);
    return status;
  }

  private printStatus(status: StatusMessage): void {
    const { slots } = status;
    this.log(
      `${status.instance}: revision ${status.revision}, preset ${status.preset}, slot map ${status.slotMap}`,
    );
    if (status.cutOff)
      this.log(
        "cut off: it receives messages from neither the store nor any peer, and accepts no new requests",
      );
    const rows = status.instances.map((instance) => [
      instance.id,
      instance.zone,
      instance.callers,
      instance.state,
      String(instance.revision ?? "?"),
      String(instance.slotMap ?? "?"),
      String(instance.primaryOf),
      String(instance.backupOf),
    ]);
    const headings = [
      "INSTANCE",
      "ZONE",
      "CALLERS",
      "STATE",
      "REVISION",
      "SLOT MAP",
      "PRIMARY",
      "BACKUP",
    ];
    this.log(formatTable([headings, ...rows]));
    this.log(
      `slots: ${slots.unassigned} unassigned, ${slots.withoutBackup} without a backup, ${slots.historyLost} with lost history`,
    );
    this.log(
      `leaving backend servers: ${status.leaving.length === 0 ? "none" : status.leaving.join(", ")}`,
    );
    this.log(`refusals: ${formatCounts(status.refusals)}`);
    this.log(`retries: ${formatCounts(status.retries)}`);
  }
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const present = Object.entries(counts).filter(([, count]) => count > 0);
  if (present.length === 0) return "none";
  return present.map(([reason, count]) => `${reason} ${count}`).join(", ");
}
