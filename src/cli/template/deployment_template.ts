import { createHash, randomBytes } from "node:crypto";
import { getNodeValue, parseTree } from "jsonc-parser";

/** A sample deployment that `init` can write to files and `dev` and `demo` can run. */
export interface DeploymentTemplate {
  readonly region: string;
  /** Availability zones. */
  readonly zones: readonly string[];
  readonly machineClass: string;
  /** Number of workers by service. */
  readonly workers: Readonly<Record<string, number>>;
  /** Names of the client accounts, the largest account first. */
  readonly accounts: readonly string[];
  /** Name of the preset in the first revision. */
  readonly preset: string;
  /** Formats the deployment document, JSON with comments, from the SHA-256 of each client account's API key. */
  readonly formatDocument: (hashes: Readonly<Record<string, string>>) => string;
}

const KEY_BYTES = 16;

/** Creates a random credential of 128 bits, in hexadecimal. */
export function createRandomKey(): string {
  return randomBytes(KEY_BYTES).toString("hex");
}

/** Returns an API key for each client account of a template: the given one, or else a random one. */
export function createAccountKeys(
  template: DeploymentTemplate,
  given: Readonly<Record<string, string>> = {},
): Record<string, string> {
  return Object.fromEntries(
    template.accounts.map((name) => [name, given[name] ?? createRandomKey()]),
  );
}

/** Formats a template's deployment document, JSON with comments, for the given API keys of its client accounts. */
export function formatTemplateDocument(
  template: DeploymentTemplate,
  keys: Readonly<Record<string, string>>,
): string {
  const hashes = Object.entries(keys).map(([name, key]) => [name, sha256(key)] as const);
  return template.formatDocument(Object.fromEntries(hashes));
}

/** Returns the same document as a parsed value, without its comments. */
export function createDocumentValue(
  template: DeploymentTemplate,
  keys: Readonly<Record<string, string>>,
): unknown {
  const tree = parseTree(formatTemplateDocument(template, keys));
  return tree === undefined ? undefined : (getNodeValue(tree) as unknown);
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
