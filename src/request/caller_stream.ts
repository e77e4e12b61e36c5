import { hasEnded, MemberState, Refusal, RequestState, RetryCause } from "../interface/index.ts";
import type { Member, RelayEvent, RelayMessage, RequestRecord } from "../interface/index.ts";
import { assignmentOf } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { Ownership } from "./ownership.ts";
import type { CallerEvent, Rejection } from "./request_api.ts";
import { ownsSlot } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** Dependencies for forwarding a caller's request to its owner. */
export interface Front {
  readonly environment: Environment;
  readonly table: SlotTable;
  readonly ownership: Ownership;
  /**
   * Called when forwarding of a request starts and ends. A planned stop waits for these requests.
   */
  readonly began: () => void;
  readonly ended: () => void;
}

/** A request to forward to its owner. */
export interface Carried {
  readonly record: RequestRecord;
  readonly fromToken: number;
  /** True to follow an existing request, false to have the owner accept it. */
  readonly follow: boolean;
}

/**
 * Milliseconds without an event from the owner after which the caller is asked to retry with the
 * request id.
 */
const OWNER_PATIENCE = 5_000;
/**
 * Idle timeout of a stream from another instance, in milliseconds. A new stream is opened
 * afterwards.
 */
const RELAY_SILENCE = 3_000;
/** Initial and maximum delay between attempts to reach the owner, in milliseconds. */
const TRY_PAUSE = 50;
const LONGEST_PAUSE = 800;
/** Milliseconds after which a caller should retry. */
const ASK_AGAIN = 1_000;

/**
 * Forwards a request to its owner and yields the answer. Each token is yielded once and in order,
 * even if ownership moves between instances meanwhile.
 */
export async function* carry(
  front: Front,
  { record, fromToken, follow }: Carried,
  signal: AbortSignal,
): AsyncGenerator<CallerEvent> {
  const { clock, counters } = front.environment;
  const progress: Progress = {
    tokens: record.tokens.slice(0, fromToken),
    next: fromToken,
    accepted: false,
    heardAt: clock.now(),
    // A request named by its id was accepted by some instance, and another instance may have
    // received the same idempotency key.
    mayRunElsewhere: follow || record.keyed,
  };
  front.began();
  try {
    for (let tries = 0; !signal.aborted; tries++) {
      const owner = ownerAt(front, record.slot, tries);
      if (owner !== undefined) {
        const message = messageFor(front, {
          record,
          progress,
          follow: follow || progress.accepted,
        });
        for await (const event of eventsFrom(front, { owner, message, progress, signal })) {
          progress.heardAt = clock.now();
          const told = hear(progress, event);
          if (told === undefined) continue;
          yield told;
          if (told.kind === "ended" || told.kind === "rejected") return;
        }
      }
      if (isAborted(signal)) return;
      if (clock.now() - progress.heardAt >= OWNER_PATIENCE) {
        counters.refused(Refusal.OwnerUnavailable);
        yield { kind: "rejected", rejection: unavailable(record.id, progress) };
        return;
      }
      counters.retried(RetryCause.OwnerMoved);
      await newRoute(front, tries);
    }
  } finally {
    front.ended();
  }
}

interface Progress {
  /**
   * The answer so far. It is sent along, so that a new owner without these tokens can continue from
   * them.
   */
  readonly tokens: string[];
  next: number;
  accepted: boolean;
  /** Time of the last event from the owner, in the clock's milliseconds. */
  heardAt: number;
  /**
   * Whether another instance may have accepted the request: the caller gave its id or an
   * idempotency key, or a message with it has been sent. Until this is ruled out, the request is
   * not reported as not run.
   */
  mayRunElsewhere: boolean;
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Selects the instance to try: this one if it owns the slot, otherwise the primary and the backup
 * in turn.
 */
export function ownerAt(
  { environment, table }: Front,
  slot: number,
  tries: number,
): Member | undefined {
  const { configuration, members } = environment;
  if (ownsSlot(table.get(slot))) return members.self;
  const { primary, backup } = assignmentOf(configuration.slotMap(), slot);
  const [first, second] = tries % 2 === 0 ? [primary, backup] : [backup, primary];
  const usable = [first, second]
    .filter((id) => id !== "" && id !== members.self.id)
    .filter((id) => members.stateOf(id) !== MemberState.Dead);
  const [chosen] = usable;
  return chosen === undefined ? undefined : members.find(chosen);
}

function messageFor(
  { environment, table }: Front,
  { record, progress, follow }: { record: RequestRecord; progress: Progress; follow: boolean },
): RelayMessage {
  const tokens = record.repeatable ? [...progress.tokens] : [];
  return {
    from: environment.members.self.id,
    slot: record.slot,
    epoch: table.get(record.slot).assignment.epoch,
    hops: 1,
    record: { ...record, tokens },
    fromToken: progress.next,
    follow,
  };
}

/** Records an event and returns what the caller should receive, or undefined for nothing. */
function hear(progress: Progress, event: RelayEvent): CallerEvent | undefined {
  switch (event.kind) {
    case "accepted":
      if (progress.accepted) return undefined;
      progress.accepted = true;
      return event;
    case "token":
      // A new stream may start before the point that the old one reached. Tokens that the caller
      // already has are dropped.
      if (event.index !== progress.next) return undefined;
      progress.next++;
      progress.tokens.push(event.text);
      return event;
    case "ended":
      return endOf(progress, event);
    case "moved":
      return undefined;
  }
}

function endOf(
  { accepted }: Progress,
  { record, retryAfter }: Extract<RelayEvent, { kind: "ended" }>,
): CallerEvent {
  const notRun = record.state === RequestState.NotRun;
  if (hasEnded(record.state) && (accepted || !notRun)) {
    return { kind: "ended", record, ...(retryAfter === undefined ? {} : { retryAfter }) };
  }
  const rejection: Rejection = {
    reason: record.reason,
    notRun,
    ...(retryAfter === undefined ? {} : { retryAfter }),
    detail: record.detail === "" ? `The request was refused: ${record.reason}.` : record.detail,
    id: record.id,
  };
  return { kind: "rejected", rejection };
}

function unavailable(id: string, { accepted, mayRunElsewhere }: Progress): Rejection {
  const notRun = !accepted && !mayRunElsewhere;
  const detail = notRun
    ? "The owner of the request's slot could not be reached; nothing was sent to it."
    : "The owner of the request can't be reached at present; query the request by its id.";
  return { reason: Refusal.OwnerUnavailable, notRun, retryAfter: ASK_AGAIN, detail, id };
}

async function newRoute({ environment }: Front, tries: number): Promise<void> {
  const { clock, configuration } = environment;
  const pause = Math.min(LONGEST_PAUSE, TRY_PAUSE * 2 ** Math.floor(tries / 2));
  await new Promise<void>((resolve) => {
    const change = configuration.onChange(done);
    const timer = clock.after(pause, done);
    function done(): void {
      change.close();
      timer.close();
      resolve();
    }
    if (tries > 0) void configuration.refresh().catch(() => undefined);
  });
}

interface Source {
  readonly owner: Member;
  readonly message: RelayMessage;
  readonly progress: Progress;
  readonly signal: AbortSignal;
}

function eventsFrom(front: Front, source: Source): AsyncIterable<RelayEvent> {
  const { owner, message, signal, progress } = source;
  const { members } = front.environment;
  if (owner.id === members.self.id) return front.ownership.serve(message, signal);
  progress.mayRunElsewhere = true;
  return relayed(front.environment, source);
}

/**
 * Yields the events of another instance. The iteration ends without a final event if the stream
 * fails or reaches its idle timeout.
 *
 * A connection between two instances can stop delivering data permanently while new ones work. The
 * stream is therefore replaced first: the iteration ends, and the next attempt opens a new stream
 * to the same owner.
 */
async function* relayed(
  { clock, counters, peers }: Environment,
  { owner, message, signal }: Source,
): AsyncGenerator<RelayEvent> {
  const ending = new AbortController();
  const abort = (): void => ending.abort(new Error("The stream is no longer followed."));
  signal.addEventListener("abort", abort, { once: true });
  let heardAt = clock.now();
  const check = (): void => {
    const left = heardAt + RELAY_SILENCE - clock.now();
    if (left > 0) {
      timer = clock.after(left, check);
      return;
    }
    counters.retried(RetryCause.SilentConnection);
    abort();
  };
  let timer = clock.after(RELAY_SILENCE, check);
  try {
    for await (const event of peers.relay(owner, message, ending.signal)) {
      heardAt = clock.now();
      yield event;
    }
  } catch {
    counters.count("relay.broken");
  } finally {
    timer.close();
    signal.removeEventListener("abort", abort);
    abort();
  }
}
