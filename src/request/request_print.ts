import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Identifies equal requests regardless of the ids that their callers gave them. */
export interface RequestPrint {
  /** 16 hexadecimal digits. */
  readonly name: string;
  /** The first 32 bits of the name. Instances exchange their counts under this key. */
  readonly key: number;
}

/** Hexadecimal digits of a name and of a key. */
const NAME_DIGITS = 16;
const KEY_DIGITS = 8;
const HEXADECIMAL = 16;

/**
 * Computes the fingerprint of a request.
 *
 * @param account Name of the client account; undefined if the route requires none.
 */
export function fingerprintRequest(
  { method, url, headers }: Pick<IncomingMessage, "method" | "url" | "headers">,
  { account, body }: { readonly account: string | undefined; readonly body: Buffer },
): RequestPrint {
  // No part of the head can contain the separator.
  const head = [account ?? "", method ?? "", headers.host ?? "", url ?? ""].join("\n");
  const digest = createHash("sha256").update(`${head}\n`).update(body).digest("hex");
  return printNamed(digest.slice(0, NAME_DIGITS));
}

/** Returns the fingerprint with the given name. */
export function printNamed(name: string): RequestPrint {
  return { name, key: Number.parseInt(name.slice(0, KEY_DIGITS), HEXADECIMAL) };
}
