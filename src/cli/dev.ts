import { Command, Flags } from "@oclif/core";
import { startEmbeddedDeployment } from "./embedded_deployment.ts";
import {
  createAccountKeys,
  ASSOCIATION_TEMPLATE,
  createDocumentValue,
  createRandomKey,
} from "./template/index.ts";
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
    const keys = createAccountKeys(ASSOCIATION_TEMPLATE, { [CLIENT_ACCOUNT]: clientKey });
    const deployment = await startEmbeddedDeployment({
      port: flags.port,
      entryInstanceCount: 3,
      workerCounts: { "entry-model": 3, "finish-desk": 2 },
      zones: ASSOCIATION_TEMPLATE.zones,
      document: createDocumentValue(ASSOCIATION_TEMPLATE, keys),
      preset: ASSOCIATION_TEMPLATE.preset,
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
