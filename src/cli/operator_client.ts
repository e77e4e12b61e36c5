import { randomUUID } from "node:crypto";
import { Flags } from "@oclif/core";
import type { Command } from "@oclif/core";
import { Agent, request } from "undici";
import { z } from "zod";
import { secretsSchema } from "../process/index.ts";
import { readText } from "./check.ts";
import { readSettings } from "./read_settings.ts";

/** Flags of every command that talks to an entry instance. */
export const OPERATOR_FLAGS = {
  entry: Flags.string({
    description: "IP:PORT of any entry instance.",
    default: "127.0.0.1:8080",
    env: "SAMPHIRESHORE_ENTRY",
  }),
  "operator-key": Flags.string({
    description: "Credential of operators.",
    env: "SAMPHIRESHORE_OPERATOR_KEY",
  }),
  secrets: Flags.string({ description: "File with the credential, as init writes it." }),
  ca: Flags.string({
    description: "File with the certificate to trust, PEM; the entry instance is asked by HTTPS.",
    env: "SAMPHIRESHORE_CA",
  }),
};

/** Values of {@linkcode OPERATOR_FLAGS}. */
export interface OperatorFlags {
  readonly entry: string;
  readonly "operator-key"?: string | undefined;
  readonly secrets?: string | undefined;
  readonly ca?: string | undefined;
}

/** A call on an operators' route. */
export interface OperatorCall<T> {
  readonly method: "GET" | "PUT" | "POST";
  readonly path: string;
  readonly body?: object;
  /** Shape of the answer, whatever its status. */
  readonly schema: z.ZodType<T>;
  /** Milliseconds for the answer. */
  readonly timeout?: number;
}

/** How a call on an operators' route came out. */
export type OperatorAnswer<T> =
  | { readonly kind: "answered"; readonly value: T; readonly status: number }
  /** The entry instance turned the call away: it had no effect. */
  | { readonly kind: "turned-away"; readonly detail: string }
  /** No connection was made: the call had no effect. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** The call was sent and its answer lost: it may have had its effect. */
  | { readonly kind: "lost"; readonly detail: string };

const DEFAULT_TIMEOUT = 15_000;

const refusalSchema = z.object({ error: z.object({ message: z.string() }) });

/** Calls an operators' route of an entry instance. */
export async function callOperator<T>(
  command: Command,
  flags: OperatorFlags,
  call: OperatorCall<T>,
): Promise<OperatorAnswer<T>> {
  const key = await operatorKey(command, flags);
  const asked = `${call.method} ${call.path} at ${flags.entry}`;
  const ca = flags.ca === undefined ? undefined : await readText(command, flags.ca);
  const scheme = ca === undefined ? "http" : "https";
  const dispatcher = new Agent(ca === undefined ? {} : { connect: { ca } });
  try {
    const answer = await request(`${scheme}://${flags.entry}${call.path}`, {
      method: call.method,
      dispatcher,
      headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeout ?? DEFAULT_TIMEOUT),
    });
    return answered(await answer.body.text(), { call, status: answer.statusCode, asked });
  } catch (cause) {
    const detail = `Asking ${asked}: ${String(cause)}.`;
    return isRefused(cause) ? { kind: "not-sent", detail } : { kind: "lost", detail };
  } finally {
    await dispatcher.destroy();
  }
}

function answered<T>(
  text: string,
  { call, status, asked }: { call: OperatorCall<T>; status: number; asked: string },
): OperatorAnswer<T> {
  const parsed = call.schema.safeParse(jsonOf(text));
  if (parsed.success) return { kind: "answered", value: parsed.data, status };
  const refusal = refusalSchema.safeParse(jsonOf(text));
  const found = refusal.success ? refusal.data.error.message : text;
  const detail = `Asking ${asked}: it answered with status ${status}: ${found}`;
  return { kind: "turned-away", detail };
}

function jsonOf(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isRefused(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === "ECONNREFUSED";
}

async function operatorKey(command: Command, flags: OperatorFlags): Promise<string> {
  if (flags["operator-key"] !== undefined) return flags["operator-key"];
  if (flags.secrets === undefined) {
    const ways = "--operator-key, SAMPHIRESHORE_OPERATOR_KEY or --secrets FILE";
    return command.error(`No credential of operators was given: use ${ways}.`, { exit: 2 });
  }
  const secrets = await readSettings(command, flags.secrets, { schema: secretsSchema });
  return secrets.operatorKey;
}

/** The answer of a call that only asks, or the command's end with a plain sentence. */
export async function askOperator<T>(
  command: Command,
  flags: OperatorFlags,
  call: OperatorCall<T>,
): Promise<T> {
  const answer = await callOperator(command, flags, call);
  return answer.kind === "answered" ? answer.value : command.error(answer.detail, { exit: 2 });
}

/** An id that no other change has. */
export function newChangeId(): string {
  return randomUUID();
}
