import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { systemClock } from "../process/system_clock.ts";
import { listenCallers } from "./caller_listener.ts";

const CALLER = fileURLToPath(new URL("testing/stalled_server_caller.ts", import.meta.url));
const IDLE_TIMEOUT = 400;
const HEADER_TIMEOUT = 1_200;
/** Milliseconds for which the process stands still: longer than all its timeouts, with what Node.js adds to them. */
const STALL = 2_600;

/** Blocks the event loop between reading sockets and running timers. */
function stall(): void {
  setImmediate(() => {
    const end = performance.now() + STALL;
    while (performance.now() < end);
  });
}

// Guards against connections that are closed as idle or too slow although a whole request waits in their socket.
test.each(["kept", "new"])(
  "a request that arrives during a stall on a %s connection is answered",
  async (kind) => {
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeout: HEADER_TIMEOUT,
      idleTimeout: IDLE_TIMEOUT,
    };
    const handler = {
      handle: (_request: unknown, response: { end(text: string): void }) => response.end("yes"),
      routing: () => ({ limits }),
    };
    const listener = await listenCallers("127.0.0.1:0", handler, systemClock);
    // The first request makes the limits those in force.
    await (await fetch(`http://${listener.address}/`)).text();
    const caller: ChildProcess = fork(CALLER, [listener.address, kind], {
      execArgv: ["--import", "tsx"],
    });
    await once(caller, "message");
    stall();
    const [received] = (await once(caller, "message")) as [string];
    expect(received).toMatch(/^HTTP\/1.1 200 .*yes$/s);
    caller.kill();
    await listener.close();
  },
);
