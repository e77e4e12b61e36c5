import { request } from "undici";
import type { Agent } from "undici";
import { z } from "zod";
import { eventData } from "../../connection/index.ts";
import { Refusal, sleep } from "../../interface/index.ts";
import type { Clock, Random } from "../../interface/index.ts";

/** A request of the demonstration's load. */
export interface Errand {
  /** Idempotency key, unique in the run. */
  readonly key: string;
  readonly service: string;
  readonly clientKey: string;
  readonly prompt: string;
  readonly answerTokens: number;
  /** False: to be run at most once. */
  readonly repeatable: boolean;
}

/** How an errand ended for its caller. */
export enum ErrandEnd {
  Complete = "complete",
  /** Refused, and certainly not run. */
  NotRun = "not-run",
  /** Ended without an answer, and may have run. */
  MayHaveRun = "may-have-run",
  /** No end within the caller's patience. */
  Unanswered = "unanswered",
}

/** What a caller saw of its errand. */
export interface ErrandRecord {
  readonly errand: Errand;
  readonly end: ErrandEnd;
  /** The id under which the system accepted it; empty where it never did. */
  readonly id: string;
  /** Texts of the tokens by index, each as often as it came. */
  readonly tokens: readonly { readonly index: number; readonly text: string }[];
  /** Milliseconds from the first try to the first token; undefined where none came. */
  readonly firstToken: number | undefined;
  /** Tries on another connection after the first. */
  readonly reconnects: number;
  /** The machine-readable reason of the last refusal; empty where there was none. */
  readonly reason: string;
}

/** What a caller is made with. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly agent: Agent;
  /** Entry instances to begin with, `IP:PORT`. */
  readonly addresses: readonly string[];
  /** Milliseconds after which the caller gives an errand up. */
  readonly patience: number;
}

/**
 * A caller as the users' programs are: it asks which address to use, keeps the answer, connects there, and
 * after a broken connection asks again with the same key from the token where it was.
 */
export interface Caller {
  run(errand: Errand): Promise<ErrandRecord>;
}

/** Reasons that are no end: the request's state isn't known at present, and the key tells it later. */
const ASK_AGAIN: ReadonlySet<string> = new Set([
  Refusal.OwnerUnavailable,
  Refusal.BackupUnavailable,
]);
const RETRY_PAUSE = 200;
const MAX_RETRY_PAUSE = 2_000;
/** Milliseconds without a byte after which a caller gives a connection up. */
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

interface Progress {
  id: string;
  firstToken: number | undefined;
  reconnects: number;
  reason: string;
  readonly startedAt: number;
  readonly tokens: { index: number; text: string }[];
}

/** What one try came to: an end, or a reason to try again after a pause. */
type Try =
  | { readonly kind: "end"; readonly end: ErrandEnd }
  | { readonly kind: "again"; readonly pause: number };

/** Makes a caller. */
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
  /** The address to use next: the first that was told, or after {@linkcode forget} another one. */
  next(errand: Errand): Promise<string>;
  /** The last address didn't work: ask again. */
  forget(): void;
}

/** Keeps what the system said of its addresses for as long as it said. */
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
      // That instance has gone: what was known at the start is tried again.
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
