import { Command, Flags } from "@oclif/core";
import { startEmbedded } from "./embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue, createRandomKey } from "./template/index.ts";
import { waitForStopSignal } from "./stop_signal.ts";

const DEFAULT_PORT = 8080;
/** The client account whose API key `--client-key` sets. */
const CLIENT_ACCOUNT = "club-sofia";

/** `samphireshore dev`: runs the embedded deployment until stopped. */
export class Dev extends Command {
  static override description =
    "Run a whole deployment in one process on loopback sockets, with stand-ins for the platform and the backend servers, until stopped.";
  static override examples = ["samphireshore dev --port 8080 --client-key try-me"];
  static override flags = {
    port: Flags.integer({
      description:
        "Port of the first entry instance; the others use the following ports. 0 selects free ports.",
      default: DEFAULT_PORT,
    }),
    "client-key": Flags.string({
      description: `API key of the client account ${CLIENT_ACCOUNT}; random if not given.`,
    }),
    "operator-key": Flags.string({ description: "Operator credential; random if not given." }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(Dev);
    const operatorKey = flags["operator-key"] ?? createRandomKey();
    const clientKey = flags["client-key"] ?? createRandomKey();
    const keys = accountKeys(ASSOCIATION, { [CLIENT_ACCOUNT]: clientKey });
    const deployment = await startEmbedded({
      port: flags.port,
      entryInstances: 3,
      workers: { "entry-model": 3, "finish-desk": 2 },
      zones: ASSOCIATION.zones,
      source: documentValue(ASSOCIATION, keys),
      preset: ASSOCIATION.preset,
      operatorKey,
    });
    const callers = deployment.entries.map((entry) => entry.self.callerAddress);
    this.log(
      JSON.stringify({ ready: true, callers, account: CLIENT_ACCOUNT, clientKey, operatorKey }),
    );
    await waitForStopSignal();
    await deployment.close();
  }
}
