import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { expect, test } from "vitest";
import { sampleHeader } from "../standin/replay/sample_trace.ts";
import { Replay } from "./replay.ts";

const ARRIVAL = JSON.stringify({ t: 5, a: "club", s: "desk", p: 10, n: 3 });

async function runReplay(lines: readonly string[]): Promise<{ code: number; message: string }> {
  const file = path.join(await mkdtemp(path.join(tmpdir(), "replay-")), "trace.jsonl");
  await writeFile(file, lines.join("\n"));
  try {
    await Replay.run([file, "--json"], import.meta.dirname);
    return { code: 0, message: "" };
  } catch (error) {
    const { oclif, message } = error as Error & { oclif: { exit: number } };
    return { code: oclif.exit, message };
  }
}

// Scripts read the result of a replay from the exit code: a failed outcome must not exit with 0.
test("exits with 0 if every stated outcome holds", async () => {
  expect(await runReplay([sampleHeader(), ARRIVAL])).toMatchObject({ code: 0 });
});

test("exits with 1 if a stated outcome doesn't hold", async () => {
  const header = sampleHeader({ lost: 0, cost: 0.000_001, services: {} });
  expect(await runReplay([header, ARRIVAL])).toMatchObject({ code: 1 });
});

test("exits with 2 and names the invalid line of a trace", async () => {
  const { code, message } = await runReplay([sampleHeader(), ARRIVAL, "{"]);
  expect(code).toBe(2);
  expect(message).toContain("trace.jsonl:3:");
});
