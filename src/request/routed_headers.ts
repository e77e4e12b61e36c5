import type { IncomingMessage } from "node:http";
import type { AnswerHead, HeaderNames } from "../interface/index.ts";

/** Headers that concern one connection only. The body's framing is set anew for the next connection. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers that an entry instance sets on the way to a worker, by name. */
export type AddedHeaders = Readonly<Record<string, string>>;

/**
 * The headers of a request on its way to a worker: what the caller sent, in its order, without what concerns
 * the connection, the key, and what only the system may set; then what it sets.
 */
export function requestHeaders(
  request: IncomingMessage,
  { names, added }: { names: HeaderNames; added: AddedHeaders },
): string[] {
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...listedIn(request.headers.connection),
    ...names.reserved,
    ...Object.keys(added),
    names.key,
    names.account,
    names.deadline,
  ]);
  const kept = without(request.rawHeaders, dropped);
  for (const [name, value] of Object.entries(added)) kept.push(name, value);
  return kept;
}

/** What an entry instance tells a worker of a request. */
export interface Instructions {
  /** Milliseconds that are left for it. */
  readonly left: number;
  /** Id of the worker that is meant. */
  readonly worker: string;
  /** Name of the client account; undefined where the route is served without one. */
  readonly account: string | undefined;
  /** Undefined for services without engines. */
  readonly rank: number | undefined;
  /** The last event that the caller has, where a stream goes on. */
  readonly lastEventId: string | undefined;
}

/** Least deadline that is passed on: a worker takes 0 for none at all. */
const LEAST_DEADLINE = 1;
/** Lowest priority that engines know. */
const LOWEST_PRIORITY = 9;

/** The headers that an entry instance sets itself. */
export function addedHeaders(names: HeaderNames, instructions: Instructions): AddedHeaders {
  const { left, worker, account, rank, lastEventId } = instructions;
  const added: Record<string, string> = {
    [names.deadline]: String(Math.max(LEAST_DEADLINE, Math.floor(left))),
    [names.expectedWorker]: worker,
  };
  if (account !== undefined) added[names.account] = account;
  if (rank !== undefined) added[names.priority] = String(Math.min(LOWEST_PRIORITY, rank));
  if (lastEventId !== undefined) added[names.lastEventId] = lastEventId;
  return added;
}

/** The headers of a worker's answer on its way to the caller. */
export function answerHeaders({ headers, byName }: AnswerHead): string[] {
  const dropped = new Set([...CONNECTION_HEADERS, ...listedIn(byName.get("connection"))]);
  return without(headers, dropped);
}

const DECIMAL = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;

/**
 * The requests a second that a worker says in its answer it takes from all instances together; undefined where it says
 * nothing, or nothing that can be read.
 */
export function workerLimit(
  { byName }: Pick<AnswerHead, "byName">,
  names: Pick<HeaderNames, "workerLimit">,
): number | undefined {
  const text = byName.get(names.workerLimit);
  return text !== undefined && DECIMAL.test(text) ? Number(text) : undefined;
}

/** Names in a `Connection` header. */
function listedIn(connection: string | undefined): string[] {
  return (connection ?? "").split(",").map((name) => name.trim().toLowerCase());
}

function without(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (!dropped.has(name.toLowerCase())) kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
}
