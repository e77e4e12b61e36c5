import { randomBytes } from "node:crypto";
import { Command, Flags } from "@oclif/core";
import { ASSOCIATION } from "./association.ts";
import { startEmbedded } from "./embedded_deployment.ts";
import { untilStopped } from "./until_stopped.ts";

const DEFAULT_PORT = 8080;

/** `samphireshore dev`: the embedded deployment, running until stopped. */
export class Dev extends Command {
  static override description =
    "Run a whole deployment in one process on loopback sockets, with stand-ins, until stopped.";
  static override examples = ["samphireshore dev --port 8080"];
  static override flags = {
    port: Flags.integer({
      description: "Port of the first entry instance; the others follow. 0 takes free ones.",
      default: DEFAULT_PORT,
    }),
    "operator-key": Flags.string({ description: "Credential of operators; random if not given." }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(Dev);
    const operatorKey = flags["operator-key"] ?? randomBytes(16).toString("hex");
    const deployment = await startEmbedded({
      port: flags.port,
      entryInstances: 3,
      workers: { "entry-model": 3, "finish-desk": 2 },
      zones: ASSOCIATION.zones,
      source: ASSOCIATION,
      preset: "day",
      operatorKey,
    });
    const callers = deployment.entries.map((entry) => entry.callers);
    this.log(JSON.stringify({ ready: true, callers, operatorKey }));
    await untilStopped();
    await deployment.close();
  }
}
