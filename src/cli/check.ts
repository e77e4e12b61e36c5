import { readFile } from "node:fs/promises";
import { Args, Command, Flags } from "@oclif/core";
import type { z } from "zod";
import { entrySettingsSchema, routedSettingsSchema } from "../process/index.ts";
import { deploymentSchema, parseSettings } from "../version/index.ts";
import type { SettingsFault } from "../version/index.ts";

/** What a file can be checked as. */
const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  deployment: deploymentSchema,
  entry: entrySettingsSchema,
  routed: routedSettingsSchema,
};

/** `samphireshore check`: every fault of a deployment document in one go. */
export class Check extends Command {
  static override description =
    "Check a deployment document or settings: every fault in one go, each with file, line, what was found and what is expected.";
  static override examples = [
    "samphireshore check deployment.jsonc",
    "samphireshore check settings.jsonc --as routed",
  ];
  static override enableJsonFlag = true;
  static override args = { file: Args.string({ required: true }) };
  static override flags = {
    as: Flags.string({
      description:
        "What the file is: a deployment document, or settings of an entry instance, plain or for routed requests.",
      options: Object.keys(SCHEMAS),
      default: "deployment",
    }),
  };

  override async run(): Promise<{ valid: boolean; faults: readonly SettingsFault[] }> {
    const { args, flags } = await this.parse(Check);
    const schema = SCHEMAS[flags.as] ?? deploymentSchema;
    const result = parseSettings(await readText(this, args.file), { schema, file: args.file });
    if (result.kind === "valid") {
      this.log(`${args.file}: no faults`);
      return { valid: true, faults: [] };
    }
    for (const fault of result.faults) this.logToStderr(faultLine(fault));
    process.exitCode = 1;
    return { valid: false, faults: result.faults };
  }
}

/** A fault as one line, in the shape that editors jump to. */
export function faultLine({ file, line, path, message }: SettingsFault): string {
  return path === "" ? `${file}:${line}: ${message}` : `${file}:${line}: ${path}: ${message}`;
}

/** Reads a file for a command, which ends with a plain sentence where it can't be read. */
export async function readText(command: Command, file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    return command.error(`Reading ${file}: ${String(cause)}.`, { exit: 2 });
  }
}
