import { dirname, resolve } from "node:path";
import { Command, Flags } from "@oclif/core";
import {
  entrySettingsSchema,
  secretsSchema,
  startEntry,
  startStateLog,
  startSystemLoad,
  systemClock,
  systemRandom,
} from "../process/index.ts";
import { createRoutedLog } from "../process/routed_log.ts";
import type { EntrySettingsFile, Secrets } from "../process/index.ts";
import { readSettings } from "./read_settings.ts";
import { waitForStopSignal } from "./stop_signal.ts";

/** `samphireshore serve`: runs one entry instance. */
export class Serve extends Command {
  static override description = "Run one entry instance until it is stopped.";
  static override examples = ["samphireshore serve --settings entry-1.jsonc"];
  static override flags = {
    settings: Flags.string({ description: "Settings file, JSON with comments.", required: true }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(Serve);
    const settings = await readSettings(this, flags.settings, { schema: entrySettingsSchema });
    const secrets = await this.readSecrets(settings, flags.settings);
    const write = (line: string): void => void process.stderr.write(`${line}\n`);
    const log = createRoutedLog({ instance: settings.name, clock: systemClock, write });
    const entry = await startEntry(
      { ...settings, ...resolveTlsPaths(settings, flags.settings), secrets },
      {
        clock: systemClock,
        random: systemRandom,
        readLoad: startSystemLoad(settings.memory),
        onCallerLimit: (limit, fields) => {
          if (settings.log) log.fault("caller-limit", { limit, ...fields });
        },
      },
    );
    if (settings.log) {
      startStateLog({ ...entry.core, self: entry.self }, write);
    }
    const { callerAddress, address } = entry.self;
    this.log(JSON.stringify({ ready: true, callers: callerAddress, peers: address }));
    // A signal starts a planned stop, which lets requests in progress finish. Further signals have no effect.
    void waitForStopSignal().then(() => entry.core.drain());
    await entry.core.whenDrained();
    await entry.close();
    // Exit explicitly: timers of slow periodic reads would keep the idle process alive for up to 30 seconds.
    this.exit(0);
  }

  private readSecrets({ secrets }: EntrySettingsFile, settingsFile: string): Promise<Secrets> {
    if (typeof secrets !== "string") return Promise.resolve(secrets);
    const file = resolve(dirname(settingsFile), secrets);
    return readSettings(this, file, { schema: secretsSchema });
  }
}

/** Resolves the paths of the certificate and its key relative to the folder of the settings file. */
function resolveTlsPaths(
  { tls }: EntrySettingsFile,
  settingsFile: string,
): Pick<EntrySettingsFile, "tls"> {
  if (tls === undefined) return {};
  const folder = dirname(settingsFile);
  const certificate = resolve(folder, tls.certificate);
  return { tls: { certificate, key: resolve(folder, tls.key) } };
}
