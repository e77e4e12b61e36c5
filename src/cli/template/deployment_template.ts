import { createHash, randomBytes } from "node:crypto";
import { getNodeValue, parseTree } from "jsonc-parser";

/** A deployment that `init` can write and `dev` and `demo` can run. */
export interface DeploymentTemplate {
  readonly region: string;
  readonly zones: readonly string[];
  readonly machineClass: string;
  /** Number of workers at the deployment's size, by service. */
  readonly workers: Readonly<Record<string, number>>;
  /** Client accounts, the largest first. */
  readonly accounts: readonly string[];
  /** The preset that is in force first. */
  readonly preset: string;
  /** The deployment document, JSON with comments, with the SHA-256 of each client account's key. */
  readonly document: (hashes: Readonly<Record<string, string>>) => string;
}

const KEY_BYTES = 16;

/** A credential that nobody can guess. */
export function randomKey(): string {
  return randomBytes(KEY_BYTES).toString("hex");
}

/** A key for each client account of a template: the given ones, else random ones. */
export function accountKeys(
  template: DeploymentTemplate,
  given: Readonly<Record<string, string>> = {},
): Record<string, string> {
  return Object.fromEntries(template.accounts.map((name) => [name, given[name] ?? randomKey()]));
}

/** The text of a template's deployment document for the given keys of its client accounts. */
export function documentText(
  template: DeploymentTemplate,
  keys: Readonly<Record<string, string>>,
): string {
  const hashes = Object.entries(keys).map(([name, key]) => [name, sha256(key)] as const);
  return template.document(Object.fromEntries(hashes));
}

/** The same document as a value. */
export function documentValue(
  template: DeploymentTemplate,
  keys: Readonly<Record<string, string>>,
): unknown {
  const tree = parseTree(documentText(template, keys));
  return tree === undefined ? undefined : (getNodeValue(tree) as unknown);
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
