import { Args, Command, Flags } from "@oclif/core";
import { request } from "undici";

/** `samphireshore preset use`: puts another preset in force. */
export class PresetUse extends Command {
  static override description = "Put a preset in force everywhere.";
  static override examples = ["samphireshore preset use peak --entry 127.0.0.1:8080"];
  static override args = { name: Args.string({ required: true }) };
  static override flags = {
    entry: Flags.string({ description: "IP:PORT of an entry instance.", required: true }),
  };

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(PresetUse);
    const path = `http://${flags.entry}/v1/preset/${encodeURIComponent(args.name)}`;
    const answer = await request(path, { method: "PUT" });
    this.log(await answer.body.text());
    if (answer.statusCode !== 200) this.exit(1);
  }
}
