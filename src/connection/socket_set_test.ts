import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const PROGRAM = fileURLToPath(new URL("testing/ending_session_process.ts", import.meta.url));
/** Milliseconds. A process that is stuck is ended before it uses much memory. */
const TIMEOUT = 10_000;

// With `session.destroy()` in place of the sockets' end, the process hangs for good and its memory grows by 0.4 GB a second.
test("a process that ends sessions while their streams end does not hang", () => {
  const { status, signal, stderr } = spawnSync(
    process.execPath,
    ["--import", "tsx", "--max-old-space-size=200", PROGRAM],
    { timeout: TIMEOUT, killSignal: "SIGKILL", encoding: "utf8" },
  );
  expect({ status, signal, stderr }).toEqual({ status: 0, signal: null, stderr: "" });
});
