import { request } from "undici";
import type { Agent } from "undici";
import { z } from "zod";
import { eventData } from "../../connection/index.ts";
import { Refusal, sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";

/** A request of the demo's load. */
export interface LoadRequest {
  /** Idempotency key, unique within the run. */
  readonly idempotencyKey: string;
  readonly service: string;
  /** API key of the client account. */
  readonly clientKey: string;
  readonly prompt: string;
  /** Number of tokens of the complete response. */
  readonly responseTokens: number;
  /** False if the request must run at most once. */
  readonly isRepeatable: boolean;
}

/** Outcome of a request as its caller observed it. */
export enum RequestOutcome {
  Complete = "complete",
  /** Refused, with the statement that it has not run. */
  NotRun = "not-run",
  /** Ended without a complete response; it may have run. */
  MayHaveRun = "may-have-run",
  /** No final response before the caller's timeout. */
  Unanswered = "unanswered",
}

/** Result of a request as its caller observed it. */
export interface RequestResult {
  readonly loadRequest: LoadRequest;
  readonly outcome: RequestOutcome;
  /** Request id assigned when the request was accepted; empty if it never was. */
  readonly requestId: string;
  /** Received tokens in order, duplicates included. */
  readonly tokens: readonly { readonly index: number; readonly text: string }[];
  /** Milliseconds from the first attempt to the first token; undefined if none was received. */
  readonly timeToFirstToken: number | undefined;
  /** Number of attempts after the first. */
  readonly reconnects: number;
  /** Error code of the last refusal; empty if there was none. */
  readonly refusalCode: string;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** HTTP connection pool. */
  readonly agent: Agent;
  /** Addresses of entry instances, `IP:PORT`, used until one of them has returned a list of addresses. */
  readonly initialAddresses: readonly string[];
  /** Milliseconds after which the caller abandons a request. */
  readonly timeout: number;
}

/**
 * A client that behaves as client programs should: it resolves the address to use, caches it, and after a
 * broken connection retries with the same idempotency key, starting after the last token received.
 */
export interface Caller {
  /** Sends a request and retries it until its outcome is known or the timeout has passed. */
  send(loadRequest: LoadRequest): Promise<RequestResult>;
}

/** Refusals that leave the outcome open: a retry with the same idempotency key returns it later. */
const INCONCLUSIVE_REFUSALS: ReadonlySet<string> = new Set([
  Refusal.OwnerUnavailable,
  Refusal.BackupUnavailable,
]);
/** Minimum and maximum delay before a retry in milliseconds; a random factor from 0.5 to 1.5 is applied. */
const MIN_RETRY_DELAY = 200;
const MAX_RETRY_DELAY = 2_000;
/** Milliseconds without received data after which a caller closes a connection. */
const IDLE_TIMEOUT = 10_000;

const resolveSchema = z.object({ addresses: z.array(z.string()), keepFor: z.number() });
const chunkSchema = z.object({
  choices: z.array(
    z.object({
      delta: z.object({ content: z.string().optional() }),
      finish_reason: z.string().nullable(),
    }),
  ),
});
const refusalSchema = z.object({
  error: z.object({ code: z.string(), not_run: z.boolean().optional() }),
});

/** State of a request across its attempts. */
interface RequestProgress {
  requestId: string;
  timeToFirstToken: number | undefined;
  reconnects: number;
  refusalCode: string;
  readonly startedAt: number;
  readonly tokens: { index: number; text: string }[];
}

/** Result of one attempt: a final outcome, or a delay in milliseconds before the next attempt. */
type AttemptResult =
  | { readonly kind: "end"; readonly outcome: RequestOutcome }
  | { readonly kind: "again"; readonly delay: number };

/** Creates a caller. */
export function createCaller(options: CallerOptions): Caller {
  const { clock, random } = options;
  const addressCache = createAddressCache(options);
  return {
    send: async (loadRequest) => {
      const progress: RequestProgress = {
        requestId: "",
        timeToFirstToken: undefined,
        reconnects: -1,
        refusalCode: "",
        startedAt: clock.now(),
        tokens: [],
      };
      let outcome: RequestOutcome | undefined;
      while (outcome === undefined && clock.now() - progress.startedAt < options.timeout) {
        progress.reconnects++;
        const address = await addressCache.get(loadRequest);
        const result = await sendAttempt(options, { loadRequest, progress, address });
        if (result.kind === "end") outcome = result.outcome;
        else {
          addressCache.invalidate();
          await sleep(clock, result.delay * (0.5 + random.next()));
        }
      }
      return { loadRequest, outcome: outcome ?? RequestOutcome.Unanswered, ...progress };
    },
  };
}

/** Caches the addresses of entry instances, one list for all services that a caller uses. */
interface AddressCache {
  /**
   * Returns the address to use. Resolves the addresses again if their time to live has passed or after
   * {@linkcode AddressCache.invalidate}.
   */
  get(loadRequest: LoadRequest): Promise<string>;
  /** Expires the cached addresses after a failed attempt. */
  invalidate(): void;
}

/** Resolves addresses for a service through `/v1/resolve` and caches them for the time to live in the response. */
function createAddressCache({
  clock,
  random,
  agent,
  initialAddresses,
}: CallerOptions): AddressCache {
  let addresses: readonly string[] = initialAddresses;
  let expiresAt = 0;
  const refresh = async (loadRequest: LoadRequest): Promise<void> => {
    const address = addresses[Math.floor(random.next() * addresses.length)] ?? "";
    try {
      const query = `service=${loadRequest.service}`;
      const response = await request(`http://${address}/v1/resolve?${query}`, {
        dispatcher: agent,
        headers: { authorization: `Bearer ${loadRequest.clientKey}` },
        signal: AbortSignal.timeout(IDLE_TIMEOUT),
      });
      const resolved = resolveSchema.parse(await response.body.json());
      if (resolved.addresses.length === 0) return;
      addresses = resolved.addresses;
      expiresAt = clock.now() + resolved.keepFor * 1_000;
    } catch {
      // The instance doesn't respond. The next attempt uses the initial addresses.
      addresses = initialAddresses;
    }
  };
  return {
    get: async (loadRequest) => {
      if (clock.now() >= expiresAt) await refresh(loadRequest);
      return addresses[0] ?? "";
    },
    invalidate: () => {
      expiresAt = 0;
    },
  };
}

/** One attempt to send a request to the entry instance at an address. */
interface Attempt {
  readonly loadRequest: LoadRequest;
  readonly progress: RequestProgress;
  readonly address: string;
}

async function sendAttempt(
  options: CallerOptions,
  { loadRequest, progress, address }: Attempt,
): Promise<AttemptResult> {
  const receivedCount = progress.tokens.length;
  try {
    const response = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      dispatcher: options.agent,
      headersTimeout: IDLE_TIMEOUT,
      bodyTimeout: IDLE_TIMEOUT,
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${loadRequest.clientKey}`,
        "idempotency-key": loadRequest.idempotencyKey,
        ...(loadRequest.isRepeatable ? {} : { "x-samphireshore-repeat": "never" }),
        ...(receivedCount === 0 ? {} : { "last-event-id": String(receivedCount - 1) }),
      },
      body: JSON.stringify({
        model: loadRequest.service,
        stream: true,
        max_completion_tokens: loadRequest.responseTokens,
        messages: [{ role: "user", content: loadRequest.prompt }],
      }),
    });
    const requestId = response.headers["x-request-id"];
    if (typeof requestId === "string") progress.requestId = requestId;
    if (response.statusCode !== 200) {
      return handleRefusal(progress, await response.body.text(), response.headers["retry-after"]);
    }
    return await readResponse(response.body, { progress, clock: options.clock });
  } catch {
    return { kind: "again", delay: MIN_RETRY_DELAY };
  }
}

async function readResponse(
  body: AsyncIterable<Uint8Array>,
  { progress, clock }: { progress: RequestProgress; clock: Clock },
): Promise<AttemptResult> {
  for await (const data of eventData(body)) {
    if (data === "[DONE]") return { kind: "end", outcome: RequestOutcome.Complete };
    const failure = refusalSchema.safeParse(JSON.parse(data));
    if (failure.success) return handleRefusal(progress, data, undefined);
    const [choice] = chunkSchema.parse(JSON.parse(data)).choices;
    const text = choice?.delta.content;
    if (text === undefined || text === "") continue;
    progress.timeToFirstToken ??= clock.now() - progress.startedAt;
    progress.tokens.push({ index: progress.tokens.length, text });
  }
  return { kind: "again", delay: MIN_RETRY_DELAY };
}

function handleRefusal(
  progress: RequestProgress,
  body: string,
  retryAfter: unknown,
): AttemptResult {
  const parsed = refusalSchema.safeParse(JSON.parse(body));
  if (!parsed.success) return { kind: "again", delay: MIN_RETRY_DELAY };
  const { code, not_run: notRun } = parsed.data.error;
  progress.refusalCode = code;
  const isInconclusive = INCONCLUSIVE_REFUSALS.has(code);
  if (typeof retryAfter === "string" || notRun === undefined || isInconclusive) {
    const delay = Math.min(MAX_RETRY_DELAY, Number(retryAfter ?? 0) * 1_000);
    return { kind: "again", delay: Math.max(MIN_RETRY_DELAY, delay) };
  }
  return { kind: "end", outcome: notRun ? RequestOutcome.NotRun : RequestOutcome.MayHaveRun };
}
