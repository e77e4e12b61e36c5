import type { Command } from "@oclif/core";
import type { z } from "zod";
import { parseSettings } from "../version/index.ts";
import { faultLine, readText } from "./check.ts";

/**
 * Reads a settings file for a command, which prints every fault and ends with exit code 1 where there is
 * one.
 *
 * @param command The command, for its output.
 * @param file The file's path.
 */
export async function readSettings<T>(
  command: Command,
  file: string,
  { schema }: { schema: z.ZodType<T> },
): Promise<T> {
  const result = parseSettings(await readText(command, file), { schema, file });
  if (result.kind === "valid") return result.settings;
  return command.error(result.faults.map(faultLine).join("\n"), { exit: 1 });
}
