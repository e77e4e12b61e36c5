/**
 * Clients of the row `rotas`. They resolve instances at any instance, keep connections, and retry as the protocol says.
 *
 * @module
 */
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { resolveAt } from "../soak/callers.ts";
import { wallNow } from "../soak/observation.ts";
import { createConnection, EarlyEnd } from "./rotas_connection.ts";
import type { KeptConnection, ObservedAnswer, Sending } from "./rotas_connection.ts";
import type { RotaFleet } from "./rotas_fleet.ts";
import { drawRequest } from "./rotas_load.ts";
import type { RotaRequest } from "./rotas_load.ts";
import { LOAD_RATIO } from "./rotas_site.ts";
import type { RotaZone } from "./rotas_site.ts";

/** A client that sends requests when asked to. */
export interface RotaClient {
  /** Sends a request and its retries; resolves at the end of the last one. */
  send(request: RotaRequest): Promise<void>;
  close(): void;
}

/** What clients share. */
export interface ClientParts {
  readonly fleet: RotaFleet;
  readonly random: Random;
  readonly record: (answer: ObservedAnswer) => void;
}

/** Share of the clients that keep resolved addresses for three times their time to live. */
const LATE_RATIO = 0.3;
const LATE_FACTOR = 3;
/** Share of the clients that use open connections until the process is gone. */
const KEEPING_RATIO = 0.3;
/** Share of the requests that open a new connection. */
const NEW_CONNECTION_RATIO = 0.15;
/** Share of the requests whose client leaves early, and the maximum time after which it does, in milliseconds. */
const LEAVING_RATIO = 0.03;
const MAX_STAY = 1_500;
/** Share of the requests whose body is sent slowly, and the maximum time that this takes, in milliseconds. */
const SLOW_BODY_RATIO = 0.04;
const MAX_BODY_TIME = 1_200;
/** Part of the remaining time for which a client respects `Retry-After`. */
const MAX_RETRY_WAIT_RATIO = 1 / 3;
const MILLISECONDS_PER_SECOND = 1_000;
const RESOLVE_ATTEMPTS = 3;
const SUCCESS = 200;
/** Statuses that promise that a request hasn't run. */
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FINAL: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

let requestCount = 0;

/** Returns the next request id. */
export function nextId(): string {
  return `r-${++requestCount}`;
}

/** Creates a client. */
export function createRotaClient({ fleet, random, record }: ClientParts): RotaClient {
  const ttlFactor = random.next() < LATE_RATIO ? LATE_FACTOR : 1;
  const keepsConnections = random.next() < KEEPING_RATIO;
  const source = `client${ttlFactor > 1 ? " late" : ""}${keepsConnections ? " keeping" : ""}`;
  const connections = new Set<KeptConnection>();
  const failed = new Set<string>();
  let addresses: readonly string[] = [];
  let expiresAt = 0;

  const resolve = async (): Promise<void> => {
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
      const resolver = pick(fleet.instances, random)?.listen.resolve;
      const resolved = resolver === undefined ? undefined : await resolveAt(resolver);
      if (resolved === undefined || resolved.addresses.length === 0) continue;
      const { addresses: found, ttl_s: ttl } = resolved;
      addresses = found;
      expiresAt = wallNow() + ttl * MILLISECONDS_PER_SECOND * ttlFactor;
      failed.clear();
      return;
    }
  };
  const choose = async (isNew: boolean): Promise<KeptConnection | undefined> => {
    if (wallNow() > expiresAt) await resolve();
    for (const one of connections) {
      if (!one.isBusy && !one.isIdle) connections.delete(one);
    }
    const idle = [...connections].filter(
      ({ isIdle, address }) => isIdle && (keepsConnections || addresses.includes(address)),
    );
    const kept = pick(idle, random);
    if (!isNew && kept !== undefined && random.next() >= NEW_CONNECTION_RATIO) return kept;
    const usable = addresses.filter((address) => !failed.has(address));
    const address = pick(usable.length > 0 ? usable : addresses, random);
    if (address === undefined) return undefined;
    const connection = createConnection(address);
    connections.add(connection);
    return connection;
  };
  const attempt = async (sending: Sending, isNew: boolean): Promise<ObservedAnswer | undefined> => {
    const connection = await choose(isNew);
    if (connection === undefined) return undefined;
    const answer = await connection.send(sending);
    if (answer.status === 0 && answer.earlyEnd !== EarlyEnd.Left) failed.add(connection.address);
    record(answer);
    return answer;
  };
  return {
    send: async (request) => {
      const { route } = request;
      const deadlineAt = wallNow() + route.deadline;
      const first = planSending(request, { source, random });
      const answer = await attempt(first, false);
      if (answer === undefined || !mayRetry(answer, request)) return;
      const left = deadlineAt - wallNow();
      const wait = Math.min(answer.retryAfter ?? 0, left * MAX_RETRY_WAIT_RATIO);
      await sleep(systemClock, wait);
      const isResumed = route.isResumable && answer.lastEvent > 0;
      const retry: Sending = {
        ...planSending(request, { source: `${source} retry`, random }),
        timeLeft: deadlineAt - wallNow(),
        lastEventId: isResumed ? answer.lastEvent : 0,
        resumes: isResumed ? first.id : undefined,
      };
      if (retry.timeLeft > 0) await attempt(retry, true);
    },
    close: () => {
      for (const connection of connections) connection.close();
    },
  };
}

/** Plans how a request is sent for the first time. */
export function planSending(
  request: RotaRequest,
  { source, random }: { readonly source: string; readonly random: Random },
): Sending {
  return {
    id: nextId(),
    request,
    source,
    bodyTime: random.next() < SLOW_BODY_RATIO ? random.next() * MAX_BODY_TIME : 0,
    leavesAfter: random.next() < LEAVING_RATIO ? random.next() * MAX_STAY : undefined,
    timeLeft: request.route.deadline,
    lastEventId: 0,
    resumes: undefined,
  };
}

function mayRetry(answer: ObservedAnswer, { route }: RotaRequest): boolean {
  if (answer.earlyEnd === EarlyEnd.Left) return false;
  if (answer.status === SUCCESS && answer.isWhole) return false;
  if (FINAL.has(answer.status)) return false;
  if (REFUSALS.has(answer.status) || answer.earlyEnd === EarlyEnd.NotConnected) return true;
  return route.routeType === "safe" || route.isResumable;
}

/** Sends the requests of a zone at its rate until `isActive` returns false, and waits for their ends. */
export async function runZone(
  { clients, rate }: RotaZone,
  parts: ClientParts,
  isActive: () => boolean,
): Promise<void> {
  const { random } = parts;
  const all = Array.from({ length: clients }, () => createRotaClient(parts));
  const ends: Promise<void>[] = [];
  while (isActive()) {
    const client = pick(all, random);
    if (client !== undefined) ends.push(client.send(drawRequest(random)));
    const interval = MILLISECONDS_PER_SECOND / (rate * LOAD_RATIO);
    await sleep(systemClock, -Math.log(1 - random.next()) * interval);
  }
  await Promise.all(ends);
  for (const client of all) client.close();
}

function pick<T>(values: readonly T[], random: Random): T | undefined {
  return values[Math.floor(random.next() * values.length)];
}
