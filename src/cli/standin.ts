import { Args, Command, Flags } from "@oclif/core";
import { z } from "zod";
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Listener } from "../connection/index.ts";
import { systemClock } from "../process/index.ts";
import { startBackendServer, startPlatformServer } from "../standin/index.ts";
import { duration } from "../version/index.ts";
import { readSettings } from "./read_settings.ts";
import { waitForStopSignal } from "./stop_signal.ts";

const backendSchema = z.strictObject({
  tokenTime: duration,
  servers: z.array(z.strictObject({ listen: z.string() })).min(1),
});

const platformSchema = z.strictObject({
  listen: z.string(),
  /** Delay before a change appears in the list of workers. */
  listLag: duration.exactOptional(),
  /** Entry instances; a reclaim of their zone includes them. */
  entries: z.array(z.strictObject({ name: z.string(), zone: z.string() })).exactOptional(),
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

/** `samphireshore standin`: runs the stand-in for the platform or those for the backend servers. */
export class Standin extends Command {
  static override description =
    "Run the stand-in for the platform, or the stand-ins for the backend servers, until stopped.";
  static override examples = [
    "samphireshore standin platform --settings platform.jsonc",
    "samphireshore standin backend --settings backends.jsonc",
  ];
  static override args = {
    kind: Args.string({ options: ["platform", "backend"], required: true }),
  };
  static override flags = {
    settings: Flags.string({ description: "Settings file, JSON with comments.", required: true }),
  };

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(Standin);
    const listeners =
      args.kind === "platform"
        ? await this.startPlatform(flags.settings)
        : await this.startBackends(flags.settings);
    const addresses = listeners.map((listener) => listener.address);
    this.log(JSON.stringify({ ready: true, addresses }));
    await waitForStopSignal();
    await Promise.all(listeners.map((listener) => listener.close()));
  }

  private async startPlatform(file: string): Promise<Listener[]> {
    const settings = await readSettings(this, file, { schema: platformSchema });
    return [await startPlatformServer({ ...settings, clock: systemClock })];
  }

  private async startBackends(file: string): Promise<Listener[]> {
    const { servers, tokenTime } = await readSettings(this, file, { schema: backendSchema });
    const started = servers.map(({ listen }) =>
      startBackendServer({ listen, tokenInterval: tokenTime, clock: systemClock }),
    );
    return Promise.all(started);
  }
}
