/**
 * Limits the memory for bytes that were received and can't be passed on yet, over all exchanges of a process.
 *
 * Load: workers that send bytes which are no answer, without end, on many connections at a time. Symptom: each exchange
 * stays within its own limit, but all together exceed the memory of the process, which is ended and loses all requests.
 *
 * Mechanism: each exchange may always hold a few kilobytes, so that those with a usual need are served whatever the others
 * hold. Beyond that, all share a fixed amount. The exchange that exceeds it has to be closed, or to pass on what it holds.
 *
 * @module
 */

/** What an exchange receives. */
export enum ReceivedPart {
  /** A worker's report on its process. */
  Report = "report",
  /** The head of a worker's response and the framing of its body. */
  Head = "head",
  /** The body of a worker's response to a request. */
  Answer = "answer",
  /** A response of the platform or of another instance. */
  Json = "json",
}

/** What one exchange holds. */
export interface HeldBytes {
  /**
   * Sets the number of bytes that the exchange holds.
   *
   * @returns False if that exceeds the memory for all exchanges. The exchange must then hold less.
   */
  hold(bytes: number): boolean;
  /** Counts that the exchange is closed because it has exceeded a limit, this one or one of its own. */
  recordExceeded(source: string): void;
  /** Ends the exchange, which holds nothing any more. */
  close(): void;
}

/** The memory of a process for received bytes. */
export interface ReceiveBudget {
  /** Begins an exchange that holds nothing. */
  open(part: ReceivedPart): HeldBytes;
  /** Bytes that all exchanges hold beyond what each may always hold. */
  readonly shared: number;
}

/** An exchange that exceeded a limit. */
export interface ExceededLimit {
  readonly part: ReceivedPart;
  /** Who sent the bytes: the id of a worker, or an address. */
  readonly source: string;
  /** Bytes that the exchange held. */
  readonly held: number;
  /** Bytes that all exchanges held beyond what each may always hold. */
  readonly shared: number;
}

/** Options of {@linkcode createReceiveBudget}. */
export interface ReceiveBudgetOptions {
  /** Bytes that all exchanges together may hold beyond what each may always hold. */
  readonly maxShared?: number;
  readonly onExceeded?: (exceeded: ExceededLimit) => void;
}

/** Bytes that each exchange may always hold: an event or a short answer. */
const ALWAYS_HELD = 16_384;
/** Default of the bytes that all exchanges share. Buffers that grow need up to twice as much. */
const MAX_SHARED = 33_554_432;

/** Creates a budget that no exchange uses. */
export function createReceiveBudget({
  maxShared = MAX_SHARED,
  onExceeded = () => undefined,
}: ReceiveBudgetOptions = {}): ReceiveBudget {
  let shared = 0;
  const open = (part: ReceivedPart): HeldBytes => {
    let held = 0;
    const hold = (bytes: number): boolean => {
      shared += beyondAlwaysHeld(bytes) - beyondAlwaysHeld(held);
      held = bytes;
      return bytes <= ALWAYS_HELD || shared <= maxShared;
    };
    return {
      hold,
      recordExceeded: (source) => onExceeded({ part, source, held, shared }),
      close: () => void hold(0),
    };
  };
  return {
    open,
    get shared() {
      return shared;
    },
  };
}

function beyondAlwaysHeld(bytes: number): number {
  return Math.max(0, bytes - ALWAYS_HELD);
}
