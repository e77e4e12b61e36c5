/**
 * Runs the built entry instance before crowds of callers that send, or leave unread, what no sound caller does: an
 * instance that is ended by them, outgrows its machine or refuses ordinary callers fails here.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdirSync } from "node:fs";
import { beforeAll, expect, test } from "vitest";
import { PADDING_HEADER } from "../stops/paced_worker.ts";
import { chunksOf, openCrowd, requestHead } from "./crowd.ts";
import type { CrowdOptions } from "./crowd.ts";
import { LIMITS, MACHINE, startCrowdFleet } from "./crowd_fleet.ts";
import type { CrowdFleet } from "./crowd_fleet.ts";
import { askOrdinary, openSlowBody } from "./ordinary_request.ts";

beforeAll(() => {
  mkdirSync("dist/crowds", { recursive: true });
  execFileSync(process.execPath, ["build.mjs", "platform"]);
});

const BODY = LIMITS.max_body_bytes;
const MEGABYTE = 1_000_000;
const MACHINE_MEMORY = MACHINE.memory / MEGABYTE;
const OK = 200;

/** What a test checks: the instance's use of its machine, in megabytes and descriptors, and ordinary requests. */
interface Outcome {
  readonly hasEnded: boolean;
  readonly memory: number;
  readonly descriptors: number;
  /** Status or error of a request while the crowd is there, and of one after it has left. */
  readonly during: number | string;
  readonly afterwards: number | string;
}

/** Lets a crowd send to an instance, stay and leave. */
async function meetCrowd(
  name: string,
  crowdOf: (fleet: CrowdFleet) => CrowdOptions & { readonly address: string },
): Promise<Outcome> {
  const fleet = await startCrowdFleet();
  try {
    const { address, ...options } = crowdOf(fleet);
    const { callers } = fleet.listen;
    expect(await askOrdinary(callers)).toBe(OK);
    const crowd = openCrowd(address, options);
    await crowd.waitUntilSent();
    const during = await askOrdinary(callers);
    crowd.close();
    const afterwards = await askOrdinary(callers);
    const { memory, descriptors } = fleet.peaks;
    return {
      hasEnded: fleet.process.hasEnded,
      memory: Math.round(memory / MEGABYTE),
      descriptors,
      during,
      afterwards,
    };
  } finally {
    await fleet.close(name);
  }
}

function expectSound({ hasEnded, memory, descriptors, during, afterwards }: Outcome): void {
  expect({ hasEnded, during, afterwards }).toEqual({
    hasEnded: false,
    during: OK,
    afterwards: OK,
  });
  expect(memory).toBeLessThanOrEqual(MACHINE_MEMORY);
  expect(descriptors).toBeLessThanOrEqual(MACHINE.descriptors);
}

/** A request with a chunked body of `size` bytes in chunks of `chunk` bytes, without its end. */
function* unendedBody(chunk: number, size: number): Generator<Buffer> {
  yield requestHead(["Transfer-Encoding: chunked"]);
  yield* chunksOf(chunk, size);
}

test("bodies in large chunks that stop short of their end stay within the machine's memory", async () => {
  const outcome = await meetCrowd("large-chunks", ({ listen }) => ({
    address: listen.callers,
    connections: 200,
    script: () => unendedBody(65_535, BODY),
  }));
  expectSound(outcome);
});

test("bodies with a length that stop one byte short stay within the machine's memory", async () => {
  const outcome = await meetCrowd("announced-length", ({ listen }) => ({
    address: listen.callers,
    connections: 200,
    script: () => [requestHead([`Content-Length: ${BODY}`]), Buffer.alloc(BODY - 1, "x")],
  }));
  expectSound(outcome);
});

test("bodies in chunks of one byte that stop short of their end stay within the machine's memory", async () => {
  const outcome = await meetCrowd("small-chunks", ({ listen }) => ({
    address: listen.callers,
    connections: 20,
    script: () => unendedBody(1, 200_000),
  }));
  expectSound(outcome);
});

// Guards against a crowd whose parsing, which goes on after it has left, keeps large bodies of others from being read.
test.each([20, 200])(
  "a large body is served within 1.5 s beside and after %d connections with bodies in chunks of one byte",
  async (connections) => {
    const fleet = await startCrowdFleet();
    try {
      const { callers } = fleet.listen;
      const crowd = openCrowd(callers, { connections, script: () => unendedBody(1, 900_000) });
      await crowd.waitUntilSent();
      const large = { length: BODY, deadline: 1_500 };
      const during = await askOrdinary(callers, large);
      crowd.close();
      const afterwards = await askOrdinary(callers, large);
      expect({ during, afterwards }).toEqual({ during: OK, afterwards: OK });
    } finally {
      await fleet.close(`large-body-${connections}`);
    }
  },
);

test("a body inside the limits in chunks of one byte is served", async () => {
  const outcome = await meetCrowd("one-small-chunks", ({ listen }) => ({
    address: listen.callers,
    connections: 1,
    script: function* () {
      yield* unendedBody(1, BODY);
      yield Buffer.from("0\r\n\r\n");
    },
  }));
  expectSound(outcome);
});

test("a body inside the limits in chunks of one byte gets the worker's answer in calm", async () => {
  const fleet = await startCrowdFleet();
  try {
    const crowd = openCrowd(fleet.listen.callers, {
      connections: 1,
      script: function* () {
        yield requestHead(["Transfer-Encoding: chunked", "Connection: close"]);
        yield* chunksOf(1, BODY);
        yield Buffer.from("0\r\n\r\n");
      },
    });
    await crowd.waitUntilEnded();
    expect(Object.fromEntries(crowd.statuses)).toEqual({ 200: 1 });
  } finally {
    await fleet.close("small-chunks-in-calm");
  }
});

test("requests sent without waiting for answers stay within the machine's memory", async () => {
  const outcome = await meetCrowd("pipelined", ({ listen }) => ({
    address: listen.callers,
    connections: 10,
    script: function* () {
      const requests = Array.from({ length: 200 }, () =>
        requestHead(["X-Token-Usage: 1,400"], { method: "GET" }),
      );
      const batch = Buffer.concat(requests);
      for (let sent = 0; sent < 100; sent++) yield batch;
    },
  }));
  expectSound(outcome);
});

test("requests behind one that waits for its answer stay within the machine's memory", async () => {
  const outcome = await meetCrowd("behind-refusals", ({ listen }) => ({
    address: listen.callers,
    connections: 40,
    script: function* () {
      const requests = Array.from({ length: 200 }, () =>
        requestHead([], { method: "GET", route: "none" }),
      );
      const batch = Buffer.concat(requests);
      yield requestHead(["X-Token-Usage: 1,2000"], { method: "GET" });
      for (let sent = 0; sent < 100; sent++) yield batch;
    },
  }));
  expectSound(outcome);
});

test("heads with many short headers stay within the machine's memory", async () => {
  const lines = Array.from({ length: 1_300 }, (_, index) => `h${index}: ${index % 10}`);
  const outcome = await meetCrowd("many-headers", ({ listen }) => ({
    address: listen.callers,
    connections: 300,
    script: () => [requestHead(["Content-Length: 10", ...lines]), Buffer.from("x")],
  }));
  expectSound(outcome);
});

test("heads that don't end stay within the machine's memory", async () => {
  const outcome = await meetCrowd("unended-heads", ({ listen }) => ({
    address: listen.callers,
    connections: 300,
    script: function* () {
      yield requestHead([]).subarray(0, -2);
      for (let line = 0; line < 30; line++) yield Buffer.from(`h${line}: ${"x".repeat(4_000)}\r\n`);
    },
  }));
  expectSound(outcome);
});

test("trailers with many short fields stay within the machine's memory", async () => {
  const lines = Array.from({ length: 12_000 }, (_, index) => `t${index % 1_000}: ${index % 10}`);
  const trailers = Buffer.from(`${lines.join("\r\n")}\r\n`);
  const outcome = await meetCrowd("trailers", ({ listen }) => ({
    address: listen.callers,
    connections: 300,
    script: () => [
      requestHead(["Transfer-Encoding: chunked"]),
      Buffer.from("1\r\nx\r\n0\r\n"),
      trailers,
    ],
  }));
  expectSound(outcome);
});

test("answers that aren't read stay within the machine's memory", async () => {
  const outcome = await meetCrowd("unread-answers", ({ listen }) => ({
    address: listen.callers,
    connections: 200,
    reads: false,
    script: () => [
      ...Array.from({ length: 8 }, () =>
        requestHead([`${PADDING_HEADER}: 1000000`], { method: "GET" }),
      ),
    ],
  }));
  expectSound(outcome);
});

test("idle connections stay within the machine's descriptors", async () => {
  const outcome = await meetCrowd("idle", ({ listen }) => ({
    address: listen.callers,
    connections: 800,
    script: () => [],
  }));
  expectSound(outcome);
});

test("idle connections at the address for resolve requests stay within the machine's descriptors", async () => {
  const outcome = await meetCrowd("idle-resolve", ({ listen }) => ({
    address: listen.resolve,
    connections: 800,
    script: () => [Buffer.from("GET /resolve?name=desk.example HTTP/1.1\r\nHost: a\r\n\r\n")],
  }));
  expectSound(outcome);
});

test("bodies at the address for resolve requests stay within the machine's memory", async () => {
  const outcome = await meetCrowd("bodies-resolve", ({ listen }) => ({
    address: listen.resolve,
    connections: 300,
    script: function* () {
      yield Buffer.from("POST /resolve HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      yield* chunksOf(1, 300_000);
    },
  }));
  expectSound(outcome);
});

test("chunk extensions without end stay within the machine's memory", async () => {
  const extended = Buffer.from(`1;${"e".repeat(16_000)}\r\nx\r\n`);
  const outcome = await meetCrowd("chunk-extensions", ({ listen }) => ({
    address: listen.callers,
    connections: 20,
    script: function* () {
      yield requestHead(["Transfer-Encoding: chunked"]);
      for (let chunk = 0; chunk < 200_000; chunk++) yield extended;
    },
  }));
  expectSound(outcome);
});

test("empty lines without end behind a request stay within the machine's memory", async () => {
  const lines = Buffer.from("\r\n".repeat(32_768));
  const outcome = await meetCrowd("empty-lines", ({ listen }) => ({
    address: listen.callers,
    connections: 20,
    script: function* () {
      yield requestHead([], { method: "GET" });
      for (let part = 0; part < 50_000; part++) yield lines;
    },
  }));
  expectSound(outcome);
});

test("a slow body that is sound is served before a crowd at its address and with its key", async () => {
  const fleet = await startCrowdFleet();
  try {
    const { callers } = fleet.listen;
    const sound = openSlowBody(callers, 100_000);
    const crowd = openCrowd(callers, {
      connections: 200,
      script: () => unendedBody(65_535, BODY),
    });
    await crowd.waitUntilSent();
    await sound.finish();
    expect(await sound.status).toBe(OK);
    crowd.close();
  } finally {
    await fleet.close("slow-body");
  }
});

test("an idle connection is used again before a crowd at another address", async () => {
  const fleet = await startCrowdFleet();
  try {
    const { callers } = fleet.listen;
    const sound = openSlowBody(callers, 1_000);
    await sound.finish();
    expect(await sound.status).toBe(OK);
    const crowd = openCrowd(callers, {
      connections: 800,
      localAddress: "127.0.0.2",
      script: () => [requestHead([], { method: "GET" })],
    });
    await crowd.waitUntilSent();
    expect(await sound.again()).toBe(OK);
    crowd.close();
    expect(fleet.peaks.descriptors).toBeLessThanOrEqual(MACHINE.descriptors);
  } finally {
    await fleet.close("reused-connection");
  }
});

test("requests behind one for another protocol don't end the process", async () => {
  const outcome = await meetCrowd("another-protocol", ({ listen }) => ({
    address: listen.callers,
    connections: 20,
    script: () => [
      Buffer.concat([
        Buffer.from("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"),
        ...Array.from({ length: 50 }, () => requestHead([], { method: "GET" })),
      ]),
    ],
  }));
  expectSound(outcome);
});

test("bytes that go on after a refusal stay within the machine's memory", async () => {
  const outcome = await meetCrowd("after-refusal", ({ listen }) => ({
    address: listen.callers,
    connections: 60,
    script: () => unendedBody(65_535, 2_000 * BODY),
  }));
  expectSound(outcome);
});
