import { ALL_RULES } from "../src/request/slot_replica.ts";
import type { Rules } from "../src/request/slot_replica.ts";

/**
 * Names of the slot ownership rules in kebab case, as accepted on the command line, such as
 * `backup-ack`.
 */
export const RULE_NAMES: readonly string[] = Object.keys(ALL_RULES).map(toKebabCase);

/**
 * Returns the slot ownership rules with one switched off.
 *
 * @param without One of {@linkcode RULE_NAMES}. If undefined, all rules stay enabled.
 * @throws {Error} If no rule has the name.
 */
export function rulesWithout(without?: string): Rules {
  if (without === undefined) return ALL_RULES;
  if (!RULE_NAMES.includes(without)) {
    throw new Error(`Unknown rule "${without}". Expected one of: ${RULE_NAMES.join(", ")}.`);
  }
  const names = Object.keys(ALL_RULES) as (keyof Rules)[];
  const rules = { ...ALL_RULES };
  return names.reduce((all, name) => ({ ...all, [name]: toKebabCase(name) !== without }), rules);
}

/** Converts a camel-case name to kebab case, for example `backupAck` to `backup-ack`. */
export function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
