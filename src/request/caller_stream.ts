import { hasEnded, MemberState, Refusal, RequestState, RetryCause } from "../interface/index.ts";
import type { Member, RelayEvent, RelayMessage, RequestRecord } from "../interface/index.ts";
import { assignmentOf } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import type { Ownership } from "./ownership.ts";
import type { CallerEvent, Rejection } from "./request_api.ts";
import { ownsSlot } from "./slot_replica.ts";
import type { SlotTable } from "./slot_table.ts";

/** What carries a caller's request to its owner. */
export interface Front {
  readonly environment: Environment;
  readonly table: SlotTable;
  readonly ownership: Ownership;
  /** Called when a request begins and ends to be carried: a planned stop waits for it. */
  readonly began: () => void;
  readonly ended: () => void;
}

/** A request as it is carried to its owner. */
export interface Carried {
  readonly record: RequestRecord;
  readonly fromToken: number;
  /** True to follow a request that exists, false to have it accepted. */
  readonly follow: boolean;
}

/** Milliseconds without a sign of the owner after which the caller is told to ask again with the id. */
const OWNER_PATIENCE = 5_000;
/** Milliseconds without an event from another instance after which a new stream to it is opened. */
const RELAY_SILENCE = 3_000;
/** Pause before the next try to reach the owner, in milliseconds. */
const TRY_PAUSE = 50;
const LONGEST_PAUSE = 800;
/** Milliseconds after which a caller is told to ask again. */
const ASK_AGAIN = 1_000;

/**
 * Carries a request to its owner and brings the answer, each token once and in order, whichever instances
 * own it meanwhile.
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
    // What is asked for by its id was accepted somewhere, and a key may have come to another instance too.
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
  /** The answer so far, so that a new owner that doesn't have it can go on from there. */
  readonly tokens: string[];
  next: number;
  accepted: boolean;
  /** When the owner was last heard. */
  heardAt: number;
  /**
   * Whether another instance may have accepted the request: it was asked for by its id, it has a key, or a
   * message with it has left. Until that is known it isn't called "not run".
   */
  mayRunElsewhere: boolean;
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/** The instance to try: this one where it acts for the slot, else the primary and the backup in turn. */
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

/** What the caller is told of an event, or undefined where it is told nothing. */
function hear(progress: Progress, event: RelayEvent): CallerEvent | undefined {
  switch (event.kind) {
    case "accepted":
      if (progress.accepted) return undefined;
      progress.accepted = true;
      return event;
    case "token":
      // A new stream begins where the old one was thought to be: what the caller has is dropped.
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
    detail: record.detail === "" ? `The request was turned away: ${record.reason}.` : record.detail,
    id: record.id,
  };
  return { kind: "rejected", rejection };
}

function unavailable(id: string, { accepted, mayRunElsewhere }: Progress): Rejection {
  const notRun = !accepted && !mayRunElsewhere;
  const detail = notRun
    ? "The owner of the request's slot could not be reached; nothing was sent to it."
    : "The owner of the request can't be reached at present; ask again with the id.";
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
 * The events of another instance; the iteration ends without an end where the stream fails or falls silent.
 *
 * A path between instances can go silent for good while new streams work. So the stream itself is blamed
 * first: the iteration just ends, and the next try opens a new one to the same owner.
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
