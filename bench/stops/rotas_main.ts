/**
 * Runs the row `rotas` of the stop harness.
 *
 * @module
 */
import { createSeededRandom } from "../../src/interface/index.ts";
import type { ObservedAnswer } from "./rotas_connection.ts";
import { startRotaFleet } from "./rotas_fleet.ts";
import { rotaSummary } from "./rotas_report.ts";
import { RotaVariant, runRotas } from "./rotas_row.ts";

/** Runs one variant with a seed and prints its summary. */
export async function runRotaRow(variant: RotaVariant, seed: number): Promise<void> {
  const random = createSeededRandom(seed);
  const answers: ObservedAnswer[] = [];
  const fleet = await startRotaFleet(random);
  try {
    await runRotas({ fleet, random, variant, record: (answer) => void answers.push(answer) });
    const name = `rotas-${variant}-${seed}`;
    console.log(`row rotas, variant ${variant}, seed ${seed}`);
    for (const line of rotaSummary({ fleet, answers, name })) console.log(`  ${line}`);
  } finally {
    await fleet.close();
  }
}

/** Whether a text names a variant. */
export function isRotaVariant(text: string): text is RotaVariant {
  return Object.values<string>(RotaVariant).includes(text);
}
