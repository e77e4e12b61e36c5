import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection } from "../request/index.ts";
import type { Account, Deployment, Revision } from "../version/index.ts";
import { bearerOf } from "./constant_time.ts";

/** A caller that has shown an account's key. */
export interface Caller {
  readonly account: string;
  readonly settings: Account;
  readonly deployment: Deployment;
}

/** Says whether what was found is a rejection. */
export function isRejection(found: object): found is Rejection {
  return "notRun" in found;
}

/**
 * Finds the client account whose key the request carries.
 *
 * All accounts are compared, each in constant time, so the answer's time tells nothing about keys.
 */
export function callerOf(
  request: IncomingMessage,
  revision: Revision | undefined,
): Caller | Rejection {
  if (revision === undefined) {
    const detail = "This entry instance doesn't know the configuration in force yet.";
    return { reason: Refusal.CutOff, notRun: true, retryAfter: 1_000, detail };
  }
  const key = bearerOf(request.headers.authorization);
  const found = createHash("sha256").update(key).digest();
  const { deployment } = revision;
  let caller: Caller | undefined;
  for (const [account, settings] of Object.entries(deployment.accounts)) {
    const same = timingSafeEqual(found, Buffer.from(settings.keySha256, "hex"));
    if (same) caller = { account, settings, deployment };
  }
  if (caller !== undefined) return caller;
  const detail =
    key === ""
      ? "The request carries no key; send it as Authorization: Bearer KEY."
      : "The key belongs to no client account.";
  return { reason: Refusal.Unauthenticated, notRun: true, detail };
}

/**
 * Checks that a caller may use a service, and that the service has the model.
 *
 * @returns Undefined where it may.
 */
export function serviceRefusal(
  { account, settings, deployment }: Caller,
  { service, model, kind }: { service: string; model: string; kind: "model" | "plain" },
): Rejection | undefined {
  const found = Object.hasOwn(deployment.services, service)
    ? deployment.services[service]
    : undefined;
  if (found?.kind !== kind) {
    const detail = `The deployment has no ${kind} service "${service}".`;
    return { reason: Refusal.UnknownService, notRun: true, detail };
  }
  if (!settings.services.includes(service)) {
    const detail = `The account ${account} may not use the service ${service}.`;
    return { reason: Refusal.Forbidden, notRun: true, detail };
  }
  if (found.kind === "plain" || model === "") return undefined;
  const known = found.models.some(({ name, adapters }) =>
    [name, ...adapters.map((adapter) => `${name}+${adapter}`)].includes(model),
  );
  if (known) return undefined;
  const detail = `The service ${service} has no model "${model}".`;
  return { reason: Refusal.UnknownModel, notRun: true, detail };
}
