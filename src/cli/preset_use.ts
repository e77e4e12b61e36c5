import { Args, Command, Flags } from "@oclif/core";
import type { ChangeOutcomeMessage } from "../connection/index.ts";
import { requestChange } from "./change_outcome.ts";
import { OPERATOR_FLAGS } from "./operator_client.ts";

/** `samphireshore preset use`: switches to another preset. */
export class PresetUse extends Command {
  static override description =
    "Put a preset in force on every entry instance. Prints one of: accepted (exit code 0), refused (1), conflict (3), not known (4).";
  static override examples = ["samphireshore preset use peak --wait --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override args = { name: Args.string({ required: true }) };
  static override flags = {
    ...OPERATOR_FLAGS,
    wait: Flags.boolean({
      description: "Wait until the preset is in force on every live entry instance.",
    }),
  };

  override async run(): Promise<ChangeOutcomeMessage> {
    const { args, flags } = await this.parse(PresetUse);
    const path = `/v1/operator/preset/${encodeURIComponent(args.name)}`;
    return requestChange(this, flags, { path, body: {}, wait: flags.wait });
  }
}
