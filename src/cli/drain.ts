import { Args, Command } from "@oclif/core";
import { drainMessage } from "../connection/index.ts";
import type { DrainMessage } from "../connection/index.ts";
import { queryOperator, OPERATOR_FLAGS } from "./operator_client.ts";

/** `samphireshore drain`: performs a planned stop of an entry instance. */
export class Drain extends Command {
  static override description =
    "Perform a planned stop of an entry instance: it accepts no new requests, finishes those in progress, hands over its slots and exits.";
  static override examples = ["samphireshore drain entry-2 --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override args = {
    instance: Args.string({
      description: "Name or member id of the entry instance.",
      required: true,
    }),
  };
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<DrainMessage> {
    const { args, flags } = await this.parse(Drain);
    const path = `/v1/operator/drain/${encodeURIComponent(args.instance)}`;
    const call = { method: "POST", path, schema: drainMessage } as const;
    const outcome = await queryOperator(this, flags, call);
    this.log(
      outcome.kind === "unreachable"
        ? `unreachable: ${outcome.detail}`
        : `${outcome.instance}: ${outcome.kind}`,
    );
    if (outcome.kind !== "draining") process.exitCode = 1;
    return outcome;
  }
}
