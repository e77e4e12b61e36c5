import { readFile } from "node:fs/promises";
import { Args, Command, Flags } from "@oclif/core";
import type { z } from "zod";
import { entrySettingsSchema, routedSettingsSchema } from "../process/index.ts";
import { deploymentSchema, parseSettings } from "../version/index.ts";
import type { SettingsError } from "../version/index.ts";

/** Schemas by the value of `--as`. */
const SCHEMAS_BY_TYPE: Readonly<Record<string, z.ZodType>> = {
  deployment: deploymentSchema,
  entry: entrySettingsSchema,
  routed: routedSettingsSchema,
};

/** `samphireshore check`: validates a deployment document or a settings file and prints all faults at once. */
export class Check extends Command {
  static override description =
    "Check a deployment document or a settings file. Prints all faults at once, each with file, line, the value found and the value expected.";
  static override examples = [
    "samphireshore check deployment.jsonc",
    "samphireshore check settings.jsonc --as routed",
  ];
  static override enableJsonFlag = true;
  static override args = { file: Args.string({ required: true }) };
  static override flags = {
    as: Flags.string({
      description:
        "Type of the file: a deployment document, the settings of an entry instance, or those of an entry instance for routed requests.",
      options: Object.keys(SCHEMAS_BY_TYPE),
      default: "deployment",
    }),
  };

  override async run(): Promise<{ valid: boolean; faults: readonly SettingsError[] }> {
    const { args, flags } = await this.parse(Check);
    const schema = SCHEMAS_BY_TYPE[flags.as] ?? deploymentSchema;
    const result = parseSettings(await readTextFile(this, args.file), { schema, file: args.file });
    if (result.kind === "valid") {
      this.log(`${args.file}: no faults`);
      return { valid: true, faults: [] };
    }
    for (const fault of result.faults) this.logToStderr(formatFault(fault));
    process.exitCode = 1;
    return { valid: false, faults: result.faults };
  }
}

/** Formats a fault as one line, `FILE:LINE: PATH: MESSAGE`, which editors and terminals link to the place. */
export function formatFault({ file, line, path, message }: SettingsError): string {
  return path === "" ? `${file}:${line}: ${message}` : `${file}:${line}: ${path}: ${message}`;
}

/** Reads a text file. If that fails, the command ends with an error message and exit code 2. */
export async function readTextFile(command: Command, file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    return command.error(`Can't read ${file}: ${String(cause)}.`, { exit: 2 });
  }
}
