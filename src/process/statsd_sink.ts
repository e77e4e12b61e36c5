import { StatsD } from "hot-shots";
import { splitAddress } from "../connection/http_listener.ts";
import type { CounterSink } from "./counters.ts";

/**
 * Maximum size of a UDP packet in bytes, and the interval in milliseconds at which counts are sent.
 */
const MAX_PACKET_BYTES = 1_400;
const FLUSH_INTERVAL = 1_000;
/** Fraction of the timings that are sent, since there is one for each token. */
const TIMING_SAMPLE_RATE = 0.01;

/**
 * Creates a sink that sends counts by UDP to the StatsD server at `IP:PORT`. Lost packets are not
 * sent again.
 */
export function createStatsdSink(
  address: string,
  tags: Readonly<Record<string, string>>,
): CounterSink & { close(): void } {
  const [host, port] = splitAddress(address);
  const client = new StatsD({
    host,
    port,
    prefix: "samphireshore.",
    globalTags: { ...tags },
    maxBufferSize: MAX_PACKET_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL,
    // Errors are ignored: a failure to send metrics must never end the process.
    errorHandler: () => undefined,
  });
  return {
    add: (name, amount) => client.increment(name, amount),
    time: (name, milliseconds) => client.timing(name, milliseconds, TIMING_SAMPLE_RATE),
    close: () => client.close(),
  };
}
