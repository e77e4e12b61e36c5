import { afterRunningTime, DialFailure } from "../interface/index.ts";
import type { Clock, Timer } from "../interface/index.ts";
import type { DialListener, PendingDial } from "./dial.ts";
import { hasValidPort } from "./http_listener.ts";
import { requestRelay } from "./relay_request.ts";

/**
 * Timeout for opening a connection through other instances, in milliseconds. A refusal within 500 ms remains possible if
 * all relays are paused.
 */
const RELAY_TIMEOUT = 400;
/** Milliseconds after which an instance counts as silent. Its own timeout for the worker is shorter. */
const RELAY_SILENCE = 300;
/** Milliseconds without an answer after which another instance is asked, too: the first one may be paused. */
const NEXT_RELAY_DELAY = 100;
/** Number of refused instances that show that the worker has ended: one may be partitioned and not know it yet. */
const MIN_REFUSALS = 2;

/** Dependencies and options of {@linkcode dialRelayed}. */
export interface RelayDialOptions {
  readonly clock: Clock;
  /** Addresses of instances that may relay the connection, in the order in which to try them. */
  readonly relays: readonly string[];
  /** Called with the address of an instance that can't relay connections at the moment. */
  readonly onRelayFailed: (relay: string) => void;
  /** Called with the address of an instance that did not answer. */
  readonly onRelaySilent?: (relay: string) => void;
  /** Called with the address of the instance that relays the connection. */
  readonly onRelayOpened?: (relay: string) => void;
}

/**
 * Opens a connection to a worker through another instance. Several are asked if one is slow to answer or can't reach the
 * worker. The first connection is used, the others are closed unused.
 *
 * @param target `IP:PORT` of the worker.
 */
export function dialRelayed(
  target: string,
  options: RelayDialOptions,
  listener: DialListener,
): PendingDial {
  const { clock, onRelayFailed, onRelayOpened, onRelaySilent } = options;
  const remaining = options.relays.filter(hasValidPort);
  const pending = new Map<string, { readonly dialing: PendingDial; readonly askedAt: number }>();
  const failures: DialFailure[] = [];
  let isSettled = false;
  let nextTimer: Timer | undefined;

  const countOf = (failure: DialFailure): number =>
    failures.filter((one) => one === failure).length;
  const close = (): void => {
    isSettled = true;
    for (const timer of [start, timeout, nextTimer]) timer?.close();
    for (const { dialing } of pending.values()) dialing.close();
    pending.clear();
  };
  const fail = (): void => {
    close();
    const found = [DialFailure.Refused, DialFailure.Unanswered].find((one) => countOf(one) > 0);
    if (found !== undefined) listener.failed(found, "Other instances don't reach the worker.");
    else listener.failed(DialFailure.NoPath, "No instance was found that reaches the worker.");
  };
  const isConclusive = (): boolean =>
    countOf(DialFailure.Refused) >= MIN_REFUSALS || (remaining.length === 0 && pending.size === 0);
  const ask = (relay: string): void => {
    const dialing = requestRelay(relay, target, {
      opened: (connection) => {
        pending.delete(relay);
        close();
        onRelayOpened?.(relay);
        listener.opened(connection);
      },
      failed: (failure) => {
        pending.delete(relay);
        failures.push(failure);
        if (failure === DialFailure.NoPath) onRelayFailed(relay);
        if (isConclusive()) fail();
        else askNext();
      },
    });
    pending.set(relay, { dialing, askedAt: clock.now() });
  };
  const askNext = (): void => {
    nextTimer?.close();
    const relay = remaining.shift();
    if (relay !== undefined) ask(relay);
    nextTimer = afterRunningTime(clock, NEXT_RELAY_DELAY, onDelay);
  };
  /** An instance that was refused is believed if the others don't answer. */
  const onDelay = (): void => {
    if (remaining.length === 0 && countOf(DialFailure.Refused) > 0) fail();
    else if (remaining.length > 0) askNext();
  };
  const endSilent = (): void => {
    for (const [relay, { askedAt }] of pending)
      if (clock.now() - askedAt >= RELAY_SILENCE) onRelaySilent?.(relay);
    fail();
  };
  const timeout = afterRunningTime(clock, RELAY_TIMEOUT, endSilent);
  // The listener must not be called before this function returns.
  const start = clock.after(0, () => {
    if (isConclusive()) fail();
    else askNext();
  });
  return {
    close: () => {
      if (!isSettled) close();
    },
  };
}
