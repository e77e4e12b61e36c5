import { Args, Command } from "@oclif/core";
import { changeOutcomeMessage } from "../connection/index.ts";
import type { ChangeOutcomeMessage } from "../connection/index.ts";
import { printOutcome } from "./change_outcome.ts";
import { queryOperator, OPERATOR_FLAGS } from "./operator_client.ts";

/** `samphireshore change`: shows the outcome of an earlier change whose response was lost. */
export class Change extends Command {
  static override description = "Show the outcome of an earlier change whose response was lost.";
  static override examples = ["samphireshore change 5d0c… --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override args = {
    id: Args.string({ description: "Change id printed by apply or preset use.", required: true }),
  };
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<ChangeOutcomeMessage> {
    const { args, flags } = await this.parse(Change);
    const path = `/v1/operator/changes/${encodeURIComponent(args.id)}`;
    const call = { method: "GET", path, schema: changeOutcomeMessage } as const;
    const outcome = await queryOperator(this, flags, call);
    printOutcome(this, outcome);
    return outcome;
  }
}
