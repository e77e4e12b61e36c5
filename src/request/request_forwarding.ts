import {
  isFinalRequestState,
  MemberState,
  Refusal,
  RequestState,
  RetryCause,
} from "../interface/index.ts";
import type { Member, RelayEvent, RelayMessage, RequestRecord } from "../interface/index.ts";
import { assignmentOf } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { OwnedRequests } from "./owned_requests.ts";
import type { CallerEvent, Rejection } from "./request_api.ts";
import { createSilenceWatch } from "./silence_watch.ts";
import { ownsSlot } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** Dependencies for forwarding a caller's request to its owner. */
export interface ForwardingContext {
  readonly environment: Environment;
  readonly table: SlotTable;
  readonly ownedRequests: OwnedRequests;
  /**
   * Called when forwarding of a request starts and ends. A planned stop waits for these requests.
   */
  readonly onStart: () => void;
  readonly onEnd: () => void;
}

/** A request to forward to its owner. */
export interface ForwardedRequest {
  readonly record: RequestRecord;
  /** Index of the first token wanted. */
  readonly fromToken: number;
  /** True to follow an existing request, false to have the owner accept it. */
  readonly follow: boolean;
}

/**
 * Milliseconds without an event from the owner after which the caller is asked to query the request
 * by its id.
 */
const OWNER_TIMEOUT = 5_000;
/**
 * Idle timeout of a stream from another instance, in milliseconds. A new stream is opened
 * afterwards.
 */
const RELAY_IDLE_TIMEOUT = 3_000;
/** Initial and maximum delay between attempts to reach the owner, in milliseconds. */
const MIN_RETRY_DELAY = 50;
const MAX_RETRY_DELAY = 800;
/** Milliseconds after which a caller should retry. */
const RETRY_AFTER = 1_000;

/**
 * Forwards a request to its owner and yields the answer. Each token is yielded once and in order,
 * even if ownership moves between instances meanwhile.
 */
export async function* forwardToOwner(
  context: ForwardingContext,
  { record, fromToken, follow }: ForwardedRequest,
  signal: AbortSignal,
): AsyncGenerator<CallerEvent> {
  const { clock, counters } = context.environment;
  const progress: Progress = {
    tokens: record.tokens.slice(0, fromToken),
    nextToken: fromToken,
    isAccepted: false,
    lastEventAt: clock.now(),
    // A request named by its id was accepted by some instance, and another instance may have
    // received the same idempotency key.
    canRunElsewhere: follow || record.keyed,
  };
  context.onStart();
  try {
    for (let tries = 0; !signal.aborted; tries++) {
      const owner = selectOwner(context, record.slot, tries);
      if (owner !== undefined) {
        const message = createRelayMessage(context, {
          record,
          progress,
          follow: follow || progress.isAccepted,
        });
        for await (const event of openEvents(context, { owner, message, progress, signal })) {
          progress.lastEventAt = clock.now();
          const callerEvent = recordEvent(progress, event);
          if (callerEvent === undefined) continue;
          yield callerEvent;
          if (callerEvent.kind === "ended" || callerEvent.kind === "rejected") return;
        }
      }
      if (isAborted(signal)) return;
      if (clock.now() - progress.lastEventAt >= OWNER_TIMEOUT) {
        counters.refused(Refusal.OwnerUnavailable);
        yield { kind: "rejected", rejection: ownerUnavailable(record.id, progress) };
        return;
      }
      counters.retried(RetryCause.OwnerMoved);
      await waitForRouteChange(context, tries);
    }
  } finally {
    context.onEnd();
  }
}

/** State of a forwarded request across attempts. */
interface Progress {
  /**
   * The answer so far. It is sent along, so that a new owner without these tokens can continue from
   * them.
   */
  readonly tokens: string[];
  /** Index of the next token expected. */
  nextToken: number;
  /** Whether an owner has accepted the request. */
  isAccepted: boolean;
  /** Time of the last event from the owner, in the clock's milliseconds. */
  lastEventAt: number;
  /**
   * Whether another instance may have accepted the request: the caller gave its id or an
   * idempotency key, or a message with it has been sent. Until this is ruled out, the request is
   * not reported as not run.
   */
  canRunElsewhere: boolean;
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Selects the instance to try: this one if it owns the slot, otherwise the primary and the backup
 * in turn.
 */
export function selectOwner(
  { environment, table }: ForwardingContext,
  slot: number,
  tries: number,
): Member | undefined {
  const { configuration, members } = environment;
  if (ownsSlot(table.get(slot))) return members.self;
  const { primary, backup } = assignmentOf(configuration.slotMap(), slot);
  const [first, second] = tries % 2 === 0 ? [primary, backup] : [backup, primary];
  const candidates = [first, second]
    .filter((id) => id !== "" && id !== members.self.id)
    .filter((id) => members.stateOf(id) !== MemberState.Dead);
  const [chosen] = candidates;
  return chosen === undefined ? undefined : members.find(chosen);
}

function createRelayMessage(
  { environment, table }: ForwardingContext,
  { record, progress, follow }: { record: RequestRecord; progress: Progress; follow: boolean },
): RelayMessage {
  const tokens = record.repeatable ? [...progress.tokens] : [];
  return {
    from: environment.members.self.id,
    slot: record.slot,
    epoch: table.get(record.slot).assignment.epoch,
    hops: 1,
    record: { ...record, tokens },
    fromToken: progress.nextToken,
    follow,
  };
}

/** Records an event and returns what the caller should receive, or undefined for nothing. */
function recordEvent(progress: Progress, event: RelayEvent): CallerEvent | undefined {
  switch (event.kind) {
    case "accepted":
      if (progress.isAccepted) return undefined;
      progress.isAccepted = true;
      return event;
    case "token":
      // A new stream may start before the point that the old one reached. Tokens that the caller
      // already has are dropped.
      if (event.index !== progress.nextToken) return undefined;
      progress.nextToken++;
      progress.tokens.push(event.text);
      return event;
    case "ended":
      return toFinalEvent(progress, event);
    case "moved":
      return undefined;
  }
}

function toFinalEvent(
  { isAccepted }: Progress,
  { record, retryAfter }: Extract<RelayEvent, { kind: "ended" }>,
): CallerEvent {
  const notRun = record.state === RequestState.NotRun;
  if (isFinalRequestState(record.state) && (isAccepted || !notRun)) {
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

function ownerUnavailable(id: string, { isAccepted, canRunElsewhere }: Progress): Rejection {
  const notRun = !isAccepted && !canRunElsewhere;
  const detail = notRun
    ? "The owner of the request's slot could not be reached; nothing was sent to it."
    : "The owner of the request can't be reached at present; query the request by its id.";
  return { reason: Refusal.OwnerUnavailable, notRun, retryAfter: RETRY_AFTER, detail, id };
}

async function waitForRouteChange(
  { environment }: ForwardingContext,
  tries: number,
): Promise<void> {
  const { clock, configuration } = environment;
  const delay = Math.min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * 2 ** Math.floor(tries / 2));
  await new Promise<void>((resolve) => {
    const subscription = configuration.onChange(done);
    const timer = clock.after(delay, done);
    function done(): void {
      subscription.close();
      timer.close();
      resolve();
    }
    if (tries > 0) void configuration.refresh().catch(() => undefined);
  });
}

/** An owner, and the message to send it. */
interface RelaySource {
  readonly owner: Member;
  readonly message: RelayMessage;
  readonly progress: Progress;
  readonly signal: AbortSignal;
}

function openEvents(context: ForwardingContext, source: RelaySource): AsyncIterable<RelayEvent> {
  const { owner, message, signal, progress } = source;
  const { members } = context.environment;
  if (owner.id === members.self.id) return context.ownedRequests.serve(message, signal);
  progress.canRunElsewhere = true;
  return relayEvents(context.environment, source);
}

/**
 * Yields the events of another instance. The iteration ends without a final event if the stream
 * fails or reaches its idle timeout.
 *
 * A connection between two instances can stop delivering data permanently while new ones work. The
 * stream is therefore replaced first: the iteration ends, and the next attempt opens a new stream
 * to the same owner.
 */
async function* relayEvents(
  { clock, counters, peers }: Environment,
  { owner, message, signal }: RelaySource,
): AsyncGenerator<RelayEvent> {
  const controller = new AbortController();
  const abort = (): void => controller.abort(new Error("The stream is no longer followed."));
  signal.addEventListener("abort", abort, { once: true });
  const silenceWatch = createSilenceWatch(clock, RELAY_IDLE_TIMEOUT, () => {
    counters.retried(RetryCause.SilentConnection);
    abort();
  });
  try {
    for await (const event of peers.relay(owner, message, controller.signal)) {
      silenceWatch.restart(RELAY_IDLE_TIMEOUT);
      yield event;
    }
  } catch {
    counters.count("relay.broken");
  } finally {
    silenceWatch.close();
    signal.removeEventListener("abort", abort);
    abort();
  }
}
