import { afterRunningTime } from "../interface/index.ts";
import type { Clock, ExchangeSink } from "../interface/index.ts";

/** Maximum size in bytes of the rest of a response that is read only to keep its connection. */
const MAX_DISCARDED_BYTES = 65_536;
/** Maximum time in milliseconds that this takes; a new connection takes less. */
const MAX_DISCARD_TIME = 100;

/**
 * Creates a sink that ignores the rest of a response.
 *
 * @param close Closes the connection; called if the rest is long or takes long.
 */
export function createDiscardingSink(clock: Clock, close: () => void): ExchangeSink {
  const timer = afterRunningTime(clock, MAX_DISCARD_TIME, close);
  let size = 0;
  return {
    head: () => undefined,
    data: (chunk) => {
      size += chunk.length;
      if (size <= MAX_DISCARDED_BYTES) return;
      timer.close();
      close();
    },
    end: () => timer.close(),
  };
}
