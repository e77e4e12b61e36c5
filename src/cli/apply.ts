import { Args, Command, Flags } from "@oclif/core";
import type { ChangeOutcomeMessage } from "../connection/index.ts";
import { deploymentSchema, parseSettings } from "../version/index.ts";
import { requestChange } from "./change_outcome.ts";
import { formatFault, readTextFile } from "./check.ts";
import { OPERATOR_FLAGS } from "./operator_client.ts";

/** `samphireshore apply`: checks a deployment document and makes it the active configuration. */
export class Apply extends Command {
  static override description =
    "Put a deployment document in force on every entry instance. Prints one of: accepted (exit code 0), refused (1), conflict (3), not known (4).";
  static override examples = [
    "samphireshore apply deployment.jsonc --wait --secrets secrets.jsonc",
  ];
  static override enableJsonFlag = true;
  static override args = { file: Args.string({ required: true }) };
  static override flags = {
    ...OPERATOR_FLAGS,
    wait: Flags.boolean({
      description: "Wait until the document is in force on every live entry instance.",
    }),
    base: Flags.integer({
      description: "Revision that the document is based on; defaults to the revision in force.",
    }),
  };

  override async run(): Promise<ChangeOutcomeMessage> {
    const { args, flags } = await this.parse(Apply);
    const text = await readTextFile(this, args.file);
    const result = parseSettings(text, { schema: deploymentSchema, file: args.file });
    if (result.kind === "invalid") {
      return this.error(result.faults.map(formatFault).join("\n"), { exit: 1 });
    }
    const { base, wait } = flags;
    const body = { source: result.source, ...(base === undefined ? {} : { base }) };
    return requestChange(this, flags, { path: "/v1/operator/deployment", body, wait });
  }
}
