import { Command } from "@oclif/core";
import type { ServicesMessage } from "../connection/index.ts";
import { OPERATOR_FLAGS } from "./operator_client.ts";
import { fetchServices } from "./services.ts";
import { formatTable } from "./text_table.ts";

/** `samphireshore preset list`: lists the presets and marks the one in force. */
export class PresetList extends Command {
  static override description = "List the presets. An asterisk marks the preset in force.";
  static override examples = ["samphireshore preset list --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<ServicesMessage["presets"]> {
    const { flags } = await this.parse(PresetList);
    const { presets } = await fetchServices(this, flags);
    this.log(
      formatTable(presets.map(({ name, about, inForce }) => [inForce ? "*" : "", name, about])),
    );
    return presets;
  }
}
