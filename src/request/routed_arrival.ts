import type { IncomingMessage } from "node:http";
import type { PromptPart, QuotaAttempt } from "../decision/index.ts";
import type { HeaderNames } from "../interface/index.ts";
import { QuotaUnit } from "../version/index.ts";
import type { Quota, Route, RoutedAccount, RouteTable } from "../version/index.ts";

/** A routed request as described by its head: its route, account, deadline and other headers. */
export interface RoutedArrival {
  /** The request id chosen by the caller; undefined if it sent none. */
  readonly id: string | undefined;
  readonly route: Route;
  /** The client account; undefined if the route requires none. */
  readonly account: RoutedAccount | undefined;
  /** Arrival time, in the clock's milliseconds. */
  readonly arrivedAt: number;
  /**
   * Time by which the answer is due, in the clock's milliseconds: the caller's deadline or the
   * route's timeout, whichever is first.
   */
  readonly deadlineAt: number;
  /**
   * Whether the caller allows less time than its route does. The request is then treated as a retry
   * of one that was refused or failed before.
   */
  readonly isRetry: boolean;
  /** Prompt and answer tokens together; undefined if the caller declared none. */
  readonly declaredTokens: number | undefined;
  /** Maximum number of answer tokens; undefined if the caller declared none. */
  readonly outputTokens: number | undefined;
  /** Parts of the prompt with their lengths, used to find workers that have them cached. */
  readonly promptParts: readonly PromptPart[];
  /** Set if the caller already has a part of the stream and asks for the rest. */
  readonly resumption: Resumption | undefined;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
}

/** What a caller states about the part of a stream that it already has. */
export interface Resumption {
  /** Id of the last event that it has. */
  readonly lastEventId: string;
  /** Id of its attempt that brought the first event; undefined if it names none. */
  readonly attempt: string | undefined;
}

/** Why a request is refused because of its head alone. */
export type ArrivalRefusal = { readonly kind: "no-route" } | { readonly kind: "unknown-key" };

/** Inputs of {@linkcode readArrival}. */
export interface ArrivalContext {
  readonly table: RouteTable;
  readonly names: HeaderNames;
  /** Current time, in the clock's milliseconds. */
  readonly now: number;
}

/** Determines the route, the client account and the deadline of a request. */
export function readArrival(
  request: IncomingMessage,
  { table, names, now }: ArrivalContext,
): RoutedArrival | ArrivalRefusal {
  const header = (name: string): string | undefined => singleHeader(request, name);
  const route = table.route(request.headers.host ?? "", request.url ?? "");
  if (route === undefined) return { kind: "no-route" };
  let account: RoutedAccount | undefined;
  if (table.routing.accounts !== undefined && !route.isPublic) {
    account = table.accountForKey(header(names.key) ?? "");
    if (account === undefined) return { kind: "unknown-key" };
  }
  const deadline = parsePositiveNumber(header(names.deadline)) ?? Infinity;
  const tokens = parseTokens(header(names.tokens));
  return {
    id: header(names.requestId),
    route,
    account,
    arrivedAt: now,
    isRetry: deadline < route.timeout - RETRY_MARGIN,
    deadlineAt: now + Math.min(deadline, route.timeout),
    declaredTokens: tokens === undefined ? undefined : tokens.prompt + tokens.output,
    outputTokens: tokens?.output,
    promptParts: parsePromptParts(header(names.promptParts)),
    resumption: readResumption(header(names.lastEventId), header(names.resumes)),
    rank: account?.priority ?? route.priority,
  };
}

/** Returns the ids of the parts of a request's prompt that other requests share: all but the last. */
export function sharedParts({ promptParts }: Pick<RoutedArrival, "promptParts">): string[] {
  return promptParts.slice(0, -1).map(({ id }) => id);
}

/** Returns the amount that a request uses of its account's quota. */
export function quotaCost(
  { unit, unstatedTokens }: Quota,
  declaredTokens: number | undefined,
): number {
  return unit === QuotaUnit.Requests ? 1 : (declaredTokens ?? unstatedTokens);
}

/** Returns what a request's deadline shows about the caller's earlier attempts. */
export function quotaAttempt(
  { route, arrivedAt, deadlineAt, isRetry }: RoutedArrival,
  now: number,
): QuotaAttempt {
  const waited = Math.max(0, route.timeout - (deadlineAt - arrivedAt));
  return { isRetry, waited, left: Math.max(0, deadlineAt - now) };
}

/** Returns the value of a header; repeated headers are joined as a receiver would join them. */
function singleHeader({ headers }: IncomingMessage, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

function parsePositiveNumber(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d{1,12}(\.\d{1,6})?$/.test(text.trim())) return undefined;
  return Number(text);
}

function readResumption(
  lastEventId: string | undefined,
  attempt: string | undefined,
): Resumption | undefined {
  return lastEventId === undefined ? undefined : { lastEventId, attempt };
}

function parseTokens(text: string | undefined): { prompt: number; output: number } | undefined {
  const match = /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*$/.exec(text ?? "");
  return match === null ? undefined : { prompt: Number(match[1]), output: Number(match[2]) };
}

/** Milliseconds by which the deadline of a first attempt may be below its route's timeout. */
const RETRY_MARGIN = 50;
/** `ID:TOKENS`, with a hexadecimal id. */
const PROMPT_PART_PATTERN = /^\s*([0-9a-fA-F]{1,64}):(\d{1,9})\s*$/;
/**
 * Maximum number of prompt parts: as many as a header of 16 KiB can hold. A longer list is treated as a caller's mistake, and
 * the request is placed by load alone.
 */
const MAX_PROMPT_PARTS = 4_096;

function parsePromptParts(text: string | undefined): PromptPart[] {
  if (text === undefined) return [];
  const entries = text.split(",", MAX_PROMPT_PARTS + 1);
  if (entries.length > MAX_PROMPT_PARTS) return [];
  const parts = entries.map((entry) => PROMPT_PART_PATTERN.exec(entry));
  return parts.every((part) => part !== null)
    ? parts.map((part) => ({ id: part[1] ?? "", tokens: Number(part[2]) }))
    : [];
}
