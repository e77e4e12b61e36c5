import { Command } from "@oclif/core";
import type { ServicesMessage } from "../connection/index.ts";
import { OPERATOR_FLAGS } from "./operator_client.ts";
import { askServices } from "./services.ts";
import { textTable } from "./text_table.ts";

/** `samphireshore preset list`: lists the presets and marks the one in force. */
export class PresetList extends Command {
  static override description = "List the presets. An asterisk marks the preset in force.";
  static override examples = ["samphireshore preset list --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<ServicesMessage["presets"]> {
    const { flags } = await this.parse(PresetList);
    const { presets } = await askServices(this, flags);
    this.log(
      textTable(presets.map(({ name, about, inForce }) => [inForce ? "*" : "", name, about])),
    );
    return presets;
  }
}
