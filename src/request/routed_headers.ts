import type { IncomingMessage } from "node:http";
import type { AnswerHead, HeaderNames } from "../interface/index.ts";

/**
 * Headers that apply to a single connection. The framing of the body is set again for the next
 * connection.
 */
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

/** Headers that an entry instance adds to a request for a worker, by name. */
export type AddedHeaders = Readonly<Record<string, string>>;

/**
 * Returns the headers of a request for a worker: the caller's headers in their order, without
 * connection headers, the key and headers reserved for the system, followed by the added headers.
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

/** Values from which the headers for a worker are made. */
export interface Instructions {
  /** Milliseconds left until the deadline. */
  readonly left: number;
  /** Id of the worker that the request is intended for. */
  readonly worker: string;
  /** Name of the client account; undefined if the route requires none. */
  readonly account: string | undefined;
  /** Priority of the request; undefined for services without engines. */
  readonly rank: number | undefined;
  /** Id of the last event that the caller has, if a stream is continued. */
  readonly lastEventId: string | undefined;
}

/** Minimum deadline that is sent to a worker, because a worker treats 0 as no deadline. */
const LEAST_DEADLINE = 1;
/** Lowest priority that engines support. */
const LOWEST_PRIORITY = 9;

/** Returns the headers that an entry instance adds itself. */
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

/** Returns the headers of a worker's response that are sent to the caller. */
export function answerHeaders({ headers, byName }: AnswerHead): string[] {
  const dropped = new Set([...CONNECTION_HEADERS, ...listedIn(byName.get("connection"))]);
  return without(headers, dropped);
}

const DECIMAL = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;

/**
 * Parses the number of requests per second that a worker accepts from all instances together.
 * Returns undefined if the header is missing or malformed.
 */
export function workerLimit(
  { byName }: Pick<AnswerHead, "byName">,
  names: Pick<HeaderNames, "workerLimit">,
): number | undefined {
  const text = byName.get(names.workerLimit);
  return text !== undefined && DECIMAL.test(text) ? Number(text) : undefined;
}

/** Parses the names in a `Connection` header. */
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
