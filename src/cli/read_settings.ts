import type { Command } from "@oclif/core";
import type { z } from "zod";
import { parseSettings } from "../version/index.ts";
import { formatFault, readTextFile } from "./check.ts";

/**
 * Reads and validates a settings file. If it has faults, the command prints all of them and ends with exit code 1;
 * if it can't be read, the exit code is 2.
 *
 * @param command The running command, which prints the faults.
 * @param file Path of the file.
 * @param options The schema to validate against.
 */
export async function readSettings<T>(
  command: Command,
  file: string,
  { schema }: { schema: z.ZodType<T> },
): Promise<T> {
  const result = parseSettings(await readTextFile(command, file), { schema, file });
  if (result.kind === "valid") return result.settings;
  return command.error(result.faults.map(formatFault).join("\n"), { exit: 1 });
}
