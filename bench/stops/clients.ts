/**
 * Clients of the stop harness. Each has one kept connection.
 *
 * @module
 */
import { Agent, request } from "node:http";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { HOST, resolveAt } from "../soak/callers.ts";
import { wallNow } from "../soak/observation.ts";
import type { StopRequest } from "./judge.ts";
import { STREAM_PATH, TOKEN_TIME } from "./paced_worker.ts";
import type { StopFleet, StopInstance } from "./stop_fleet.ts";

/** Kind of a request, with the method and path of its route. */
export const RequestKinds = {
  safe: { method: "GET", path: "/safe/x" },
  once: { method: "POST", path: "/once/x" },
  stream: { method: "POST", path: `${STREAM_PATH}x` },
} as const;
/** Name of a kind of request. */
export type RequestKind = keyof typeof RequestKinds;

/** A request to send. */
export interface PlannedRequest {
  readonly kind: RequestKind;
  /** Declared tokens of the answer, from which its length follows. */
  readonly tokens: number;
  readonly agent: Agent;
}

const PROMPT_TOKENS = 10;
/** Deadline of all requests, in milliseconds: longer than any stop. */
const DEADLINE = 15_000;
/** Time after which a client looks for the current instances again, in milliseconds. */
const RESOLVE_INTERVAL = 1_000;
/** Maximum pause between two requests of a client, in milliseconds. */
const MAX_PAUSE = 110;
/** Share of the requests that are streams. */
const STREAM_RATIO = 0.05;
const MAX_SHORT_TOKENS = 4;
/** Range of the lengths of streams, in milliseconds. */
const STREAM_LENGTHS = { from: 1_500, to: 4_800 };

let requestCount = 0;

/** Creates the agent of one kept connection. */
export function createKeptConnection(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Returns the tokens of an answer of a length in milliseconds. */
export function tokensFor(length: number): number {
  return Math.max(1, Math.round(length / TOKEN_TIME));
}

/** Returns a random number of a range. */
export function pickBetween(random: Random, { from, to }: { from: number; to: number }): number {
  return from + random.next() * (to - from);
}

/** Sends a request to an instance and records it at its end. */
export function sendTo(
  fleet: Pick<StopFleet, "record">,
  { listen, process: { pid } }: StopInstance,
  { kind, tokens, agent }: PlannedRequest,
): Promise<StopRequest> {
  const [host, port] = splitAddress(listen.callers);
  const id = `h-${process.pid}-${++requestCount}`;
  const sentAt = wallNow();
  return new Promise((resolve) => {
    const end = (status: number, isWhole: boolean): void => {
      const length = tokens * TOKEN_TIME;
      const ended = { id, pid, sentAt, endedAt: wallNow(), length, status, isWhole };
      fleet.record(ended);
      resolve(ended);
    };
    let status = 0;
    const sent = request(
      {
        host,
        port,
        agent,
        ...RequestKinds[kind],
        headers: {
          Host: HOST,
          "Api-Key": CLIENT_KEY,
          "X-Request-Id": id,
          "X-Request-Deadline": String(DEADLINE),
          "X-Token-Usage": `${PROMPT_TOKENS},${tokens}`,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        response.resume();
        response.on("error", () => undefined);
        response.on("close", () => end(status, response.complete));
      },
    );
    sent.on("error", () => {
      if (status === 0) end(0, false);
    });
    sent.end();
  });
}

/** Options of {@linkcode runMixedClient}. */
export interface MixedClientOptions {
  readonly fleet: StopFleet;
  readonly random: Random;
  /** Whether the client keeps to its first instance as long as that one answers. */
  readonly keepsInstance: boolean;
  readonly isActive: () => boolean;
}

/** Sends unsafe and safe requests and streams, one after the other, to resolved instances. */
export async function runMixedClient(options: MixedClientOptions): Promise<void> {
  const { fleet, random, isActive, keepsInstance } = options;
  let agent = createKeptConnection();
  let instance: StopInstance | undefined;
  let resolvedAt = 0;
  while (isActive()) {
    if (instance === undefined || (!keepsInstance && wallNow() - resolvedAt > RESOLVE_INTERVAL)) {
      const next = await resolveInstance(fleet, random);
      if (next !== instance) {
        agent.destroy();
        agent = createKeptConnection();
      }
      instance = next;
      resolvedAt = wallNow();
    }
    if (instance !== undefined) {
      const { status, isWhole } = await sendTo(fleet, instance, { ...planRequest(random), agent });
      if (!isWhole || (status !== 200 && !keepsInstance)) instance = undefined;
    }
    await sleep(systemClock, random.next() * MAX_PAUSE);
  }
  agent.destroy();
}

function planRequest(random: Random): Pick<PlannedRequest, "kind" | "tokens"> {
  if (random.next() < STREAM_RATIO)
    return { kind: "stream", tokens: tokensFor(pickBetween(random, STREAM_LENGTHS)) };
  const tokens = 1 + Math.floor(random.next() * MAX_SHORT_TOKENS);
  return { kind: random.next() < 0.5 ? "safe" : "once", tokens };
}

async function resolveInstance(
  { instances }: StopFleet,
  random: Random,
): Promise<StopInstance | undefined> {
  const resolver = pickFrom(instances, random);
  const resolved = await resolveAt(resolver.listen.resolve);
  if (resolved === undefined || resolved.addresses.length === 0) return undefined;
  const address = pickFrom(resolved.addresses, random);
  return instances.find(({ listen }) => listen.callers === address);
}

function pickFrom<T>(values: readonly T[], random: Random): T {
  const value = values[Math.floor(random.next() * values.length)];
  if (value === undefined) throw new Error("cannot pick from an empty list");
  return value;
}
