import { readFile } from "node:fs/promises";
import { Command, Flags } from "@oclif/core";
import { entrySettingsSchema, startEntry, systemClock, systemRandom } from "../process/index.ts";
import { parseSettings } from "../version/index.ts";
import { untilStopped } from "./until_stopped.ts";

/** `samphireshore serve`: one entry instance. */
export class Serve extends Command {
  static override description = "Run one entry instance until it is stopped.";
  static override examples = ["samphireshore serve --settings entry-1.jsonc"];
  static override flags = {
    settings: Flags.string({ description: "Settings, JSON with comments.", required: true }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(Serve);
    const text = await readFile(flags.settings, "utf8");
    const result = parseSettings(text, { schema: entrySettingsSchema, file: flags.settings });
    if (result.kind === "invalid") {
      for (const fault of result.faults)
        this.logToStderr(`${fault.file}:${fault.line}: ${fault.path}: ${fault.message}`);
      this.exit(1);
    }
    const entry = await startEntry(result.settings, { clock: systemClock, random: systemRandom });
    this.log(
      JSON.stringify({ ready: true, callers: entry.self.callerAddress, peers: entry.self.address }),
    );
    await untilStopped();
    await entry.close();
  }
}
