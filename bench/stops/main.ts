/**
 * Command line of the stop harness: stops built entry instances under load and counts what became of the requests.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { createSeededRandom } from "../../src/interface/index.ts";
import { summaryLines } from "./report.ts";
import { isRotaVariant, runRotaRow } from "./rotas_main.ts";
import { RotaVariant } from "./rotas_row.ts";
import { Row, runRow } from "./rows.ts";
import { startStopFleet } from "./stop_fleet.ts";

const HELP = `Stops processes of the built entry instance one after the other under load, and prints what became of the requests.

  npx tsx bench/stops/main.ts --row ${Object.values(Row).join("|")} [--seed N]
  npx tsx bench/stops/main.ts --row rotas [--variant ${Object.values(RotaVariant).join("|")}] [--seed N]

Run "node build.mjs platform" first.`;

const { values } = parseArgs({
  options: {
    row: { type: "string", default: Row.Streams },
    variant: { type: "string", default: RotaVariant.Plain },
    seed: { type: "string", default: "1" },
    help: { type: "boolean", default: false },
  },
});

async function run(row: Row): Promise<void> {
  const fleet = await startStopFleet();
  try {
    await runRow(row, fleet, createSeededRandom(Number(values.seed)));
    console.log(`row ${row}, seed ${values.seed}`);
    for (const line of summaryLines(fleet)) console.log(`  ${line}`);
  } finally {
    await fleet.close();
  }
}

function isRow(text: string): text is Row {
  return Object.values<string>(Row).includes(text);
}

const { row, variant, seed } = values;
if (!values.help && row === "rotas" && isRotaVariant(variant)) {
  await runRotaRow(variant, Number(seed));
} else if (!values.help && isRow(row)) await run(row);
else console.log(HELP);
