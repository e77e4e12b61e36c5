import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** What tells a request from others whatever id its caller gives it: two that agree in it ask for the same. */
export interface RequestPrint {
  /** 16 hexadecimal digits. */
  readonly name: string;
  /** The first 32 bits of it: under these, instances tell each other what they have counted. */
  readonly key: number;
}

/** Hexadecimal digits of a name, and of a key. */
const NAME_DIGITS = 16;
const KEY_DIGITS = 8;
const HEXADECIMAL = 16;

/**
 * Finds a request's print.
 *
 * @param account Name of the client account; undefined where the route is served without one.
 */
export function requestPrint(
  { method, url, headers }: Pick<IncomingMessage, "method" | "url" | "headers">,
  { account, body }: { readonly account: string | undefined; readonly body: Buffer },
): RequestPrint {
  // None of the parts before the body can hold the character between them.
  const head = [account ?? "", method ?? "", headers.host ?? "", url ?? ""].join("\n");
  const digest = createHash("sha256").update(`${head}\n`).update(body).digest("hex");
  return printNamed(digest.slice(0, NAME_DIGITS));
}

/** The print of that name. */
export function printNamed(name: string): RequestPrint {
  return { name, key: Number.parseInt(name.slice(0, KEY_DIGITS), HEXADECIMAL) };
}
