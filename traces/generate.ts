/**
 * Writes the traces of this folder anew: `npx tsx traces/generate.ts [--seed N] [--out DIRECTORY]`.
 * The same seed writes the same bytes.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import path from "node:path";
import { parseArgs } from "node:util";
import { generateTraces } from "./catalogue.ts";

const DEFAULT_SEED = 7;

const { values } = parseArgs({
  options: { seed: { type: "string" }, out: { type: "string" } },
});
const seed = values.seed === undefined ? DEFAULT_SEED : Number(values.seed);
const directory = values.out ?? import.meta.dirname;
for (const { name, text } of generateTraces(seed)) {
  await writeFile(path.join(directory, `${name}.jsonl`), text);
  console.log(`${name}.jsonl ${text.length} bytes`);
}
