import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection } from "../request/index.ts";
import type { Account, Deployment, Revision } from "../version/index.ts";
import { bearerToken } from "./credentials.ts";

/** An authenticated caller: its request carried the key of a client account. */
export interface Caller {
  /** Name of the client account. */
  readonly account: string;
  /** The account's entry in the deployment. */
  readonly settings: Account;
  /** The deployment in force when the caller was authenticated. */
  readonly deployment: Deployment;
}

/** Returns whether a result is a {@linkcode Rejection} rather than the expected value. */
export function isRejection(result: object): result is Rejection {
  return "notRun" in result;
}

/**
 * Authenticates a request by the API key in its `Authorization` header.
 *
 * The key is compared with the key of every account, each in constant time, so that the response time
 * reveals nothing about the keys.
 *
 * @param revision The configuration in force; undefined if this instance doesn't have one yet.
 * @returns The caller, or a rejection if there is no configuration or no account has the key.
 */
export function authenticateCaller(
  request: IncomingMessage,
  revision: Revision | undefined,
): Caller | Rejection {
  if (revision === undefined) {
    const detail = "This entry instance hasn't received the configuration in force yet.";
    return { reason: Refusal.CutOff, notRun: true, retryAfter: 1_000, detail };
  }
  const key = bearerToken(request.headers.authorization);
  const keyDigest = createHash("sha256").update(key).digest();
  const { deployment } = revision;
  let caller: Caller | undefined;
  for (const [account, settings] of Object.entries(deployment.accounts)) {
    const isEqual = timingSafeEqual(keyDigest, Buffer.from(settings.keySha256, "hex"));
    if (isEqual) caller = { account, settings, deployment };
  }
  if (caller !== undefined) return caller;
  const detail =
    key === ""
      ? "The request has no API key; send it as Authorization: Bearer KEY."
      : "The API key doesn't belong to any client account.";
  return { reason: Refusal.Unauthenticated, notRun: true, detail };
}

/**
 * Checks that a service of the given kind exists, that the caller's account may use it, and that it
 * serves the model.
 *
 * @param model `MODEL` or `MODEL+ADAPTER`; empty to skip the check of the model.
 * @returns Undefined if all checks pass, otherwise the rejection.
 */
export function checkServiceAccess(
  { account, settings, deployment }: Caller,
  { service, model, kind }: { service: string; model: string; kind: "model" | "plain" },
): Rejection | undefined {
  const entry = Object.hasOwn(deployment.services, service)
    ? deployment.services[service]
    : undefined;
  if (entry?.kind !== kind) {
    const detail = `The deployment has no ${kind} service "${service}".`;
    return { reason: Refusal.UnknownService, notRun: true, detail };
  }
  if (!settings.services.includes(service)) {
    const detail = `The account ${account} is not allowed to use the service ${service}.`;
    return { reason: Refusal.Forbidden, notRun: true, detail };
  }
  if (entry.kind === "plain" || model === "") return undefined;
  const isKnown = entry.models.some(({ name, adapters }) =>
    [name, ...adapters.map((adapter) => `${name}+${adapter}`)].includes(model),
  );
  if (isKnown) return undefined;
  const detail = `The service ${service} has no model "${model}".`;
  return { reason: Refusal.UnknownModel, notRun: true, detail };
}
