import { createSocket } from "node:dgram";
import { expect, test } from "vitest";
import { Refusal, RetryCause } from "../interface/index.ts";
import { createCounters } from "./counters.ts";
import { createStatsdSink } from "./statsd_sink.ts";

test("exposes a counter for every refusal reason and retry cause before the first occurrence", () => {
  const text = createCounters().text();
  for (const reason of Object.values(Refusal)) {
    const line = `samphireshore_refused_total{name="${reason}"} 0\n`;
    expect(text.includes(line)).toBe(reason !== Refusal.None);
  }
  for (const cause of Object.values(RetryCause)) {
    expect(text).toContain(`samphireshore_retried_total{name="${cause}"} 0\n`);
  }
});

test("reports quantiles per service, including token gaps below a millisecond", () => {
  const counters = createCounters();
  for (let index = 1; index <= 100; index++) counters.firstToken("desk", index);
  counters.betweenTokens("desk", 0.25);
  const text = counters.text();
  expect(text).toMatch(/first_token_milliseconds\{service="desk",quantile="0.95"\} 9[456]/);
  expect(text).toMatch(/between_tokens_milliseconds\{service="desk",quantile="0.5"\} 0.25/);
});

test("sends counts by UDP if a StatsD server is configured", async () => {
  const server = createSocket("udp4");
  await new Promise<void>((resolve) => server.bind(0, "127.0.0.1", resolve));
  const received = new Promise<string>((resolve) => {
    server.once("message", (message) => resolve(message.toString()));
  });
  const { port } = server.address();
  const sink = createStatsdSink(`127.0.0.1:${port}`, { zone: "z0" });
  createCounters(sink).refused(Refusal.QueueFull);
  expect(await received).toContain("samphireshore.refused.queue-full:1|c|#zone:z0");
  sink.close();
  server.close();
});
