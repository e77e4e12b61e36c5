/**
 * Generates all traces and writes them to files: `npm run traces -- [--seed N] [--out DIRECTORY]`.
 * The default directory is `dist/traces`. The same seed always generates the same bytes.
 *
 * @module
 */
import { mkdir, writeFile } from "node:fs/promises";
import path from "node:path";
import { parseArgs } from "node:util";
import { generateTraces } from "./catalogue.ts";

const DEFAULT_SEED = 7;

const { values } = parseArgs({
  options: { seed: { type: "string" }, out: { type: "string" } },
});
const seed = values.seed === undefined ? DEFAULT_SEED : Number(values.seed);
const directory = values.out ?? path.join(import.meta.dirname, "..", "dist", "traces");
await mkdir(directory, { recursive: true });
for (const { name, text } of generateTraces(seed)) {
  await writeFile(path.join(directory, `${name}.jsonl`), text);
  console.log(`${name}.jsonl ${text.length} bytes`);
}
