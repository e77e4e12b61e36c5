import { randomUUID } from "node:crypto";
import { Flags } from "@oclif/core";
import type { Command } from "@oclif/core";
import { Agent, request } from "undici";
import { z } from "zod";
import { secretsSchema } from "../process/index.ts";
import { readTextFile } from "./check.ts";
import { readSettings } from "./read_settings.ts";

/** Flags of every command that calls the operators' API of an entry instance. */
export const OPERATOR_FLAGS = {
  entry: Flags.string({
    description: "IP:PORT of any entry instance.",
    default: "127.0.0.1:8080",
    env: "SAMPHIRESHORE_ENTRY",
  }),
  "operator-key": Flags.string({
    description: "Operator credential.",
    env: "SAMPHIRESHORE_OPERATOR_KEY",
  }),
  secrets: Flags.string({
    description: "File with the operator credential, in the format that init writes.",
  }),
  ca: Flags.string({
    description:
      "PEM file with the CA certificate to trust; if given, the entry instance is called over HTTPS.",
    env: "SAMPHIRESHORE_CA",
  }),
};

/** Values of {@linkcode OPERATOR_FLAGS}. Calls require an operator key, given directly or in a secrets file. */
export interface OperatorFlags {
  readonly entry: string;
  readonly "operator-key"?: string | undefined;
  readonly secrets?: string | undefined;
  readonly ca?: string | undefined;
}

/** A call of the operators' API. */
export interface OperatorCall<T> {
  readonly method: "GET" | "PUT" | "POST";
  readonly path: string;
  /** JSON body; none if absent. */
  readonly body?: object;
  /** Schema of the response body, for every status code. */
  readonly schema: z.ZodType<T>;
  /** Time limit for the response in milliseconds; {@linkcode DEFAULT_TIMEOUT} if absent. */
  readonly timeout?: number;
}

/** Result of a call of the operators' API. */
export type OperatorResult<T> =
  /** The response body matches the schema. */
  | { readonly kind: "answered"; readonly value: T; readonly status: number }
  /** The entry instance rejected the call, which had no effect. */
  | { readonly kind: "turned-away"; readonly detail: string }
  /** The connection was refused; the call had no effect. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** The call may have been sent, but no response was received: it may have taken effect. */
  | { readonly kind: "lost"; readonly detail: string };

/** Default time limit for a response, in milliseconds. */
const DEFAULT_TIMEOUT = 15_000;

const refusalSchema = z.object({ error: z.object({ message: z.string() }) });

/**
 * Calls the operators' API of an entry instance. Failures of the call are returned as results; the command ends
 * with an error only if the credential or the certificate can't be read.
 */
export async function callOperator<T>(
  command: Command,
  flags: OperatorFlags,
  call: OperatorCall<T>,
): Promise<OperatorResult<T>> {
  const key = await readOperatorKey(command, flags);
  const callDescription = `${call.method} ${call.path} at ${flags.entry}`;
  const ca = flags.ca === undefined ? undefined : await readTextFile(command, flags.ca);
  const scheme = ca === undefined ? "http" : "https";
  const dispatcher = new Agent(ca === undefined ? {} : { connect: { ca } });
  try {
    const response = await request(`${scheme}://${flags.entry}${call.path}`, {
      method: call.method,
      dispatcher,
      headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeout ?? DEFAULT_TIMEOUT),
    });
    return parseResponse(await response.body.text(), {
      call,
      status: response.statusCode,
      callDescription,
    });
  } catch (cause) {
    const detail = `${callDescription} failed: ${String(cause)}.`;
    return isConnectionRefused(cause) ? { kind: "not-sent", detail } : { kind: "lost", detail };
  } finally {
    await dispatcher.destroy();
  }
}

function parseResponse<T>(
  text: string,
  {
    call,
    status,
    callDescription,
  }: { call: OperatorCall<T>; status: number; callDescription: string },
): OperatorResult<T> {
  const parsed = call.schema.safeParse(parseJson(text));
  if (parsed.success) return { kind: "answered", value: parsed.data, status };
  const refusal = refusalSchema.safeParse(parseJson(text));
  const message = refusal.success ? refusal.data.error.message : text;
  const detail = `${callDescription} returned status ${status}: ${message}`;
  return { kind: "turned-away", detail };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isConnectionRefused(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === "ECONNREFUSED";
}

async function readOperatorKey(command: Command, flags: OperatorFlags): Promise<string> {
  if (flags["operator-key"] !== undefined) return flags["operator-key"];
  if (flags.secrets === undefined) {
    const sources = "--operator-key, SAMPHIRESHORE_OPERATOR_KEY or --secrets FILE";
    return command.error(`The operator credential is missing: use ${sources}.`, { exit: 2 });
  }
  const secrets = await readSettings(command, flags.secrets, { schema: secretsSchema });
  return secrets.operatorKey;
}

/** Calls the operators' API and returns the response body. If the call fails, the command ends with exit code 2. */
export async function queryOperator<T>(
  command: Command,
  flags: OperatorFlags,
  call: OperatorCall<T>,
): Promise<T> {
  const result = await callOperator(command, flags, call);
  return result.kind === "answered" ? result.value : command.error(result.detail, { exit: 2 });
}

/** Creates a unique change id. */
export function createChangeId(): string {
  return randomUUID();
}
