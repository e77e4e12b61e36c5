import { StatsD } from "hot-shots";
import { splitAddress } from "../connection/http_listener.ts";
import type { CounterSink } from "./counters.ts";

/** Greatest UDP packet, and how long counts are gathered into one, in milliseconds. */
const PACKET_BYTES = 1_400;
const FLUSH_PERIOD = 1_000;
/** The part of the times that is sent: there is one for each token. */
const TIME_SAMPLES = 0.01;

/** Sends counts by UDP to a StatsD server at `IP:PORT`; what is lost on the way is not sent again. */
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
    maxBufferSize: PACKET_BYTES,
    bufferFlushInterval: FLUSH_PERIOD,
    // Counting must never end the process, whatever becomes of the packets.
    errorHandler: () => undefined,
  });
  return {
    add: (name, amount) => client.increment(name, amount),
    time: (name, milliseconds) => client.timing(name, milliseconds, TIME_SAMPLES),
    close: () => client.close(),
  };
}
