import { Command } from "@oclif/core";
import { servicesMessage } from "../connection/index.ts";
import type { ServicesMessage } from "../connection/index.ts";
import { queryOperator, OPERATOR_FLAGS } from "./operator_client.ts";
import type { OperatorFlags } from "./operator_client.ts";
import { formatTable } from "./text_table.ts";

/** `samphireshore services`: lists the services with their workers and the limits set by the preset. */
export class Services extends Command {
  static override description =
    "List the services, with their workers by state and the preset's minimum and maximum number of workers.";
  static override examples = ["samphireshore services --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<ServicesMessage> {
    const { flags } = await this.parse(Services);
    const response = await fetchServices(this, flags);
    const rows = response.services.map((service) => [
      service.name,
      service.kind,
      service.models.join(" "),
      service.paused ? "paused" : "",
      `${service.least}..${service.most}`,
      Object.entries(service.workers)
        .map(([state, count]) => `${count} ${state}`)
        .join(", "),
    ]);
    this.log(`revision ${response.revision}, preset ${response.preset}`);
    this.log(formatTable([["SERVICE", "KIND", "MODELS", "", "PRESET", "WORKERS"], ...rows]));
    return response;
  }
}

/** Fetches the services and presets from an entry instance. If that fails, the command ends with exit code 2. */
export function fetchServices(command: Command, flags: OperatorFlags): Promise<ServicesMessage> {
  const call = { method: "GET", path: "/v1/operator/services", schema: servicesMessage } as const;
  return queryOperator(command, flags, call);
}
