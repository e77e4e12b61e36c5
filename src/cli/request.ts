import { Args, Command } from "@oclif/core";
import { requestMessage } from "../connection/index.ts";
import type { RequestMessage } from "../connection/index.ts";
import { queryOperator, OPERATOR_FLAGS } from "./operator_client.ts";

/** `samphireshore request`: shows the state of a request. */
export class Request extends Command {
  static override description = "Show the state of a request, and which entry instances own it.";
  static override examples = ["samphireshore request r17-4f0c9a… --secrets secrets.jsonc"];
  static override enableJsonFlag = true;
  static override args = { id: Args.string({ required: true }) };
  static override flags = OPERATOR_FLAGS;

  override async run(): Promise<RequestMessage> {
    const { args, flags } = await this.parse(Request);
    const path = `/v1/operator/requests/${encodeURIComponent(args.id)}`;
    const call = { method: "GET", path, schema: requestMessage } as const;
    const status = await queryOperator(this, flags, call);
    const times = {
      accepted: new Date(status.acceptedAt).toISOString(),
      deadline: new Date(status.deadlineAt).toISOString(),
    };
    for (const [name, value] of Object.entries({ ...status, ...times })) {
      if (value !== "") this.log(`${name}: ${value}`);
    }
    return status;
  }
}
