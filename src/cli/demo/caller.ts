import { request } from "undici";
import type { Agent } from "undici";
import { z } from "zod";
import { eventData } from "../../connection/index.ts";
import { Refusal, sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";

/** A request of the demo's load. */
export interface Errand {
  /** Idempotency key, unique within the run. */
  readonly key: string;
  readonly service: string;
  /** API key of the client account. */
  readonly clientKey: string;
  readonly prompt: string;
  /** Number of tokens of the complete response. */
  readonly answerTokens: number;
  /** False if the request must run at most once. */
  readonly repeatable: boolean;
}

/** Outcome of a request as its caller observed it. */
export enum ErrandEnd {
  Complete = "complete",
  /** Refused, with the statement that it has not run. */
  NotRun = "not-run",
  /** Ended without a complete response; it may have run. */
  MayHaveRun = "may-have-run",
  /** No final response before the caller's timeout. */
  Unanswered = "unanswered",
}

/** Result of a request as its caller observed it. */
export interface ErrandRecord {
  readonly errand: Errand;
  readonly end: ErrandEnd;
  /** Request id assigned when the request was accepted; empty if it never was. */
  readonly id: string;
  /** Received tokens in order, duplicates included. */
  readonly tokens: readonly { readonly index: number; readonly text: string }[];
  /** Milliseconds from the first attempt to the first token; undefined if none was received. */
  readonly firstToken: number | undefined;
  /** Number of attempts after the first. */
  readonly reconnects: number;
  /** Error code of the last refusal; empty if there was none. */
  readonly reason: string;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** HTTP connection pool. */
  readonly agent: Agent;
  /** Addresses of entry instances, `IP:PORT`, used until one of them has returned a list of addresses. */
  readonly addresses: readonly string[];
  /** Milliseconds after which the caller abandons a request. */
  readonly patience: number;
}

/**
 * A client that behaves as client programs should: it resolves the address to use, caches it, and after a
 * broken connection retries with the same idempotency key, starting after the last token received.
 */
export interface Caller {
  /** Sends a request and retries it until its outcome is known or the timeout has passed. */
  run(errand: Errand): Promise<ErrandRecord>;
}

/** Refusals that leave the outcome open: a retry with the same idempotency key returns it later. */
const ASK_AGAIN: ReadonlySet<string> = new Set([
  Refusal.OwnerUnavailable,
  Refusal.BackupUnavailable,
]);
/** Minimum and maximum delay before a retry in milliseconds; a random factor from 0.5 to 1.5 is applied. */
const RETRY_PAUSE = 200;
const MAX_RETRY_PAUSE = 2_000;
/** Milliseconds without received data after which a caller closes a connection. */
const SILENCE = 10_000;

const resolved = z.object({ addresses: z.array(z.string()), keepFor: z.number() });
const chunk = z.object({
  choices: z.array(
    z.object({
      delta: z.object({ content: z.string().optional() }),
      finish_reason: z.string().nullable(),
    }),
  ),
});
const refusal = z.object({
  error: z.object({ code: z.string(), not_run: z.boolean().optional() }),
});

/** State of a request across its attempts. */
interface Progress {
  id: string;
  firstToken: number | undefined;
  reconnects: number;
  reason: string;
  readonly startedAt: number;
  readonly tokens: { index: number; text: string }[];
}

/** Result of one attempt: a final outcome, or a delay in milliseconds before the next attempt. */
type Try =
  | { readonly kind: "end"; readonly end: ErrandEnd }
  | { readonly kind: "again"; readonly pause: number };

/** Creates a caller. */
export function createCaller(options: CallerOptions): Caller {
  const { clock, random } = options;
  const addresses = createAddressBook(options);
  return {
    run: async (errand) => {
      const progress: Progress = {
        id: "",
        firstToken: undefined,
        reconnects: -1,
        reason: "",
        startedAt: clock.now(),
        tokens: [],
      };
      let end: ErrandEnd | undefined;
      while (end === undefined && clock.now() - progress.startedAt < options.patience) {
        progress.reconnects++;
        const address = await addresses.next(errand);
        const outcome = await tryOnce(options, { errand, progress, address });
        if (outcome.kind === "end") end = outcome.end;
        else {
          addresses.forget();
          await sleep(clock, outcome.pause * (0.5 + random.next()));
        }
      }
      return { errand, end: end ?? ErrandEnd.Unanswered, ...progress };
    },
  };
}

interface AddressBook {
  /** Returns the address to use. It is resolved again if its time to live has passed or after {@linkcode forget}. */
  next(errand: Errand): Promise<string>;
  /** Expires the cached addresses after a failed attempt. */
  forget(): void;
}

/** Resolves addresses for a service through `/v1/resolve` and caches them for the time to live in the response. */
function createAddressBook({ clock, random, agent, addresses }: CallerOptions): AddressBook {
  let known: readonly string[] = addresses;
  let keepUntil = 0;
  const ask = async (errand: Errand): Promise<void> => {
    const from = known[Math.floor(random.next() * known.length)] ?? "";
    try {
      const query = `service=${errand.service}`;
      const answer = await request(`http://${from}/v1/resolve?${query}`, {
        dispatcher: agent,
        headers: { authorization: `Bearer ${errand.clientKey}` },
        signal: AbortSignal.timeout(SILENCE),
      });
      const told = resolved.parse(await answer.body.json());
      if (told.addresses.length === 0) return;
      known = told.addresses;
      keepUntil = clock.now() + told.keepFor * 1_000;
    } catch {
      // The instance doesn't respond. The next attempt uses the initial addresses.
      known = addresses;
    }
  };
  return {
    next: async (errand) => {
      if (clock.now() >= keepUntil) await ask(errand);
      return known[0] ?? "";
    },
    forget: () => {
      keepUntil = 0;
    },
  };
}

interface OneTry {
  readonly errand: Errand;
  readonly progress: Progress;
  readonly address: string;
}

async function tryOnce(
  options: CallerOptions,
  { errand, progress, address }: OneTry,
): Promise<Try> {
  const had = progress.tokens.length;
  try {
    const answer = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      dispatcher: options.agent,
      headersTimeout: SILENCE,
      bodyTimeout: SILENCE,
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${errand.clientKey}`,
        "idempotency-key": errand.key,
        ...(errand.repeatable ? {} : { "x-samphireshore-repeat": "never" }),
        ...(had === 0 ? {} : { "last-event-id": String(had - 1) }),
      },
      body: JSON.stringify({
        model: errand.service,
        stream: true,
        max_completion_tokens: errand.answerTokens,
        messages: [{ role: "user", content: errand.prompt }],
      }),
    });
    const id = answer.headers["x-request-id"];
    if (typeof id === "string") progress.id = id;
    if (answer.statusCode !== 200) {
      return refused(progress, await answer.body.text(), answer.headers["retry-after"]);
    }
    return await readAnswer(answer.body, { progress, clock: options.clock });
  } catch {
    return { kind: "again", pause: RETRY_PAUSE };
  }
}

async function readAnswer(
  body: AsyncIterable<Uint8Array>,
  { progress, clock }: { progress: Progress; clock: Clock },
): Promise<Try> {
  for await (const data of eventData(body)) {
    if (data === "[DONE]") return { kind: "end", end: ErrandEnd.Complete };
    const failure = refusal.safeParse(JSON.parse(data));
    if (failure.success) return refused(progress, data, undefined);
    const [choice] = chunk.parse(JSON.parse(data)).choices;
    const text = choice?.delta.content;
    if (text === undefined || text === "") continue;
    progress.firstToken ??= clock.now() - progress.startedAt;
    progress.tokens.push({ index: progress.tokens.length, text });
  }
  return { kind: "again", pause: RETRY_PAUSE };
}

function refused(progress: Progress, body: string, retryAfter: unknown): Try {
  const parsed = refusal.safeParse(JSON.parse(body));
  if (!parsed.success) return { kind: "again", pause: RETRY_PAUSE };
  const { code, not_run: notRun } = parsed.data.error;
  progress.reason = code;
  const isOpen = ASK_AGAIN.has(code);
  if (typeof retryAfter === "string" || notRun === undefined || isOpen) {
    const pause = Math.min(MAX_RETRY_PAUSE, Number(retryAfter ?? 0) * 1_000);
    return { kind: "again", pause: Math.max(RETRY_PAUSE, pause) };
  }
  return { kind: "end", end: notRun ? ErrandEnd.NotRun : ErrandEnd.MayHaveRun };
}
