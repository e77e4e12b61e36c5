/**
 * Runs the built `samphireshore serve` before crowds of callers whose bodies don't end, or whose chunks are tiny: an
 * instance that is ended by them or outgrows its machine fails here.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdirSync } from "node:fs";
import { beforeAll, expect, test } from "vitest";
import { MAX_BODY_BYTES } from "../../src/connection/index.ts";
import { chunksOf, openCrowd } from "./crowd.ts";
import type { CrowdOptions } from "./crowd.ts";
import {
  askOrdinaryChat,
  chatHead,
  chatText,
  SERVE_MEMORY,
  startServeFleet,
} from "./serve_fleet.ts";

beforeAll(() => {
  mkdirSync("dist/crowds", { recursive: true });
  execFileSync(process.execPath, ["build.mjs"]);
});

const MEGABYTE = 1_000_000;
const OK = 200;

async function expectSoundBefore(name: string, options: CrowdOptions): Promise<void> {
  const fleet = await startServeFleet();
  try {
    expect(await askOrdinaryChat(fleet.callers)).toBe(OK);
    const crowd = openCrowd(fleet.callers, options);
    await crowd.waitUntilSent();
    const during = await askOrdinaryChat(fleet.callers);
    crowd.close();
    const afterwards = await askOrdinaryChat(fleet.callers);
    const memory = Math.round(fleet.peaks.memory / MEGABYTE);
    const { hasEnded } = fleet.process;
    expect({ hasEnded, during, afterwards }).toEqual({
      hasEnded: false,
      during: OK,
      afterwards: OK,
    });
    expect(memory).toBeLessThanOrEqual(SERVE_MEMORY / MEGABYTE);
  } finally {
    await fleet.close(name);
  }
}

test("bodies that stop short of their end stay within the machine's memory", async () => {
  await expectSoundBefore("serve-large-chunks", {
    connections: 100,
    script: function* () {
      yield chatHead(["Transfer-Encoding: chunked"]);
      yield* chunksOf(65_535, MAX_BODY_BYTES);
    },
  });
});

test("bodies in chunks of one byte that stop short of their end stay within the machine's memory", async () => {
  await expectSoundBefore("serve-small-chunks", {
    connections: 20,
    script: function* () {
      yield chatHead(["Transfer-Encoding: chunked"]);
      yield* chunksOf(1, 200_000);
    },
  });
});

test("a body inside the limits in chunks of one byte is served", async () => {
  const fleet = await startServeFleet();
  try {
    const text = Buffer.from(chatText(1_000_000));
    const crowd = openCrowd(fleet.callers, {
      connections: 1,
      script: function* () {
        yield chatHead(["Transfer-Encoding: chunked", "Connection: close"]);
        for (let start = 0; start < text.length; start += 10_000) {
          const bytes = [...text.subarray(start, start + 10_000)];
          yield Buffer.from(bytes.map((byte) => `1\r\n${String.fromCharCode(byte)}\r\n`).join(""));
        }
        yield Buffer.from("0\r\n\r\n");
      },
    });
    await crowd.waitUntilEnded();
    expect(Object.fromEntries(crowd.statuses)).toEqual({ 200: 1 });
  } finally {
    await fleet.close("serve-small-chunks-in-calm");
  }
});
