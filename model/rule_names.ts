import { ALL_RULES } from "../src/request/slot_replica.ts";
import type { Rules } from "../src/request/slot_replica.ts";

/** The rules' names as the command line takes them, such as `backup-ack`. */
export const RULE_NAMES: readonly string[] = Object.keys(ALL_RULES).map(kebabCase);

/**
 * All rules but one.
 *
 * @param without A name of {@linkcode RULE_NAMES}; undefined leaves all in force.
 * @throws {Error} If no rule has the name.
 */
export function rulesWithout(without?: string): Rules {
  if (without === undefined) return ALL_RULES;
  if (!RULE_NAMES.includes(without)) {
    throw new Error(`Found the rule "${without}", expected one of ${RULE_NAMES.join(", ")}.`);
  }
  const names = Object.keys(ALL_RULES) as (keyof Rules)[];
  const rules = { ...ALL_RULES };
  return names.reduce((all, name) => ({ ...all, [name]: kebabCase(name) !== without }), rules);
}

/** A name of the code as the command line has it, such as `backup-ack` for `backupAck`. */
export function kebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
