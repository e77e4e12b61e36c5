import { readFile } from "node:fs/promises";
import { Args, Command, Flags } from "@oclif/core";
import { z } from "zod";
import { Purchase, WorkerState } from "../interface/index.ts";
import { systemClock } from "../process/index.ts";
import { startBackend, startPlatform } from "../standin/index.ts";
import { duration, parseSettings } from "../version/index.ts";
import { untilStopped } from "./until_stopped.ts";

const backendSchema = z.strictObject({ listen: z.string(), tokenTime: duration });
const platformSchema = z.strictObject({
  listen: z.string(),
  workers: z.array(
    z.strictObject({
      id: z.string(),
      address: z.string(),
      service: z.string(),
      zone: z.string(),
      machineClass: z.string(),
      purchase: z.enum(Purchase),
      state: z.enum(WorkerState).default(WorkerState.Live),
    }),
  ),
});

/** `samphireshore standin`: a stand-in as a process of its own. */
export class Standin extends Command {
  static override description = "Run a stand-in for the platform or for a backend server.";
  static override examples = ["samphireshore standin platform --settings platform.jsonc"];
  static override args = {
    kind: Args.string({ options: ["platform", "backend"], required: true }),
  };
  static override flags = {
    settings: Flags.string({ description: "Settings, JSON with comments.", required: true }),
  };

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(Standin);
    const file = flags.settings;
    const text = await readFile(file, "utf8");
    const listener =
      args.kind === "platform"
        ? await startPlatform(this.checked(text, { schema: platformSchema, file }))
        : await startBackend({
            ...this.checked(text, { schema: backendSchema, file }),
            clock: systemClock,
          });
    this.log(JSON.stringify({ ready: true, address: listener.address }));
    await untilStopped();
    await listener.close();
  }

  private checked<T>(text: string, options: { schema: z.ZodType<T>; file: string }): T {
    const result = parseSettings(text, options);
    if (result.kind === "valid") return result.settings;
    const lines = result.faults.map((fault) => `${fault.file}:${fault.line}: ${fault.message}`);
    return this.error(lines.join("\n"), { exit: 1 });
  }
}
