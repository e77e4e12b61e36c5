/**
 * Callers around a stop that read slowly, use slow links, or don't wait for their answers.
 *
 * @module
 */
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { pickBetween } from "./clients.ts";
import { openRawConnection } from "./raw_connection.ts";
import type { RawConnection, RawRequest } from "./raw_connection.ts";
import { startSlowLink } from "./slow_link.ts";
import type { StopFleet, StopInstance } from "./stop_fleet.ts";

/** What the callers of a group share. */
interface CallerContext {
  readonly random: Random;
  /** Whether the process of the instance still runs. */
  readonly isRunning: () => boolean;
  /** Opens a connection of the group. */
  readonly open: (options?: { readonly isSlowReader?: boolean }) => RawConnection;
}

/** A kind of caller. */
interface CallerGroup {
  readonly name: string;
  /** Number of callers at each stop. */
  readonly callers: number;
  /** Milliseconds after SIGTERM at which its callers begin. */
  readonly begins: { readonly from: number; readonly to: number };
  readonly usesLink?: boolean;
  readonly run: (context: CallerContext) => Promise<void>;
}

/** Time before SIGTERM at which the first callers begin, in milliseconds. */
const LEAD_TIME = 1_500;
const LINK = { rate: 400_000, delay: 40 };
/** Bytes per second. */
const SLOW_READ_RATE = 400_000;
const MAX_BODY = 100_000;
const BODY_PARTS = 40;
const WHOLE_STOP = { from: -1_000, to: 3_150 };
const PADDINGS = { from: 1_000, to: 60_000 };
const STREAM_TOKENS = { from: 4, to: 60 };
/** Milliseconds until a caller writes something behind its request. */
const WRITE_BEHIND = { from: 0, to: 1_500 };
const SHORT: RawRequest = { kind: "safe", tokens: 1 };

const GROUPS: readonly CallerGroup[] = [
  {
    name: "slow-reader",
    callers: 12,
    begins: WHOLE_STOP,
    run: ({ open, random }) => sendAndClose(open({ isSlowReader: true }), paddedStream(random)),
  },
  {
    name: "slow-link",
    callers: 12,
    begins: WHOLE_STOP,
    usesLink: true,
    run: ({ open, random }) => sendAndClose(open(), paddedStream(random)),
  },
  {
    name: "slow-link-plain",
    callers: 12,
    begins: WHOLE_STOP,
    usesLink: true,
    run: ({ open, random }) => sendAndClose(open(), plainAnswer(random)),
  },
  {
    name: "slow-reader-plain",
    callers: 12,
    begins: WHOLE_STOP,
    run: ({ open, random }) => sendAndClose(open({ isSlowReader: true }), plainAnswer(random)),
  },
  {
    name: "link-empty-line",
    callers: 12,
    begins: WHOLE_STOP,
    usesLink: true,
    run: (context) => writeBehind(context, (connection) => connection.write("\r\n")),
  },
  {
    name: "slow-reader-empty-line",
    callers: 12,
    begins: WHOLE_STOP,
    run: (context) =>
      writeBehind(context, (connection) => connection.write("\r\n"), { isSlowReader: true }),
  },
  {
    name: "link-second",
    callers: 12,
    begins: WHOLE_STOP,
    usesLink: true,
    run: (context) => writeBehind(context, (connection) => void connection.send(SHORT)),
  },
  {
    name: "second-of-stream",
    callers: 12,
    begins: WHOLE_STOP,
    run: async ({ open, random }) => {
      const connection = open();
      const first = connection.send(paddedStream(random));
      await first.answered;
      connection.send(SHORT);
      await first.ended;
      await sleep(systemClock, 500);
      connection.destroy();
    },
  },
  {
    name: "pair",
    callers: 12,
    begins: WHOLE_STOP,
    run: ({ open, random }) => sendPair(open(), random),
  },
  {
    name: "link-pair",
    callers: 12,
    begins: WHOLE_STOP,
    usesLink: true,
    run: ({ open, random }) => sendPair(open(), random),
  },
  {
    name: "slow-body",
    callers: 16,
    begins: { from: -1_000, to: 2_500 },
    run: async ({ open, random }) => {
      const connection = open();
      const { ended } = connection.send({ kind: "once", tokens: 5, bodySize: MAX_BODY });
      const part = "x".repeat(MAX_BODY / BODY_PARTS);
      const pause = pickBetween(random, { from: 10, to: 60 });
      for (let index = 0; index < BODY_PARTS; index++) {
        await sleep(systemClock, pause);
        connection.write(part, { isBody: true });
      }
      await ended;
      connection.destroy();
    },
  },
  {
    name: "at-the-end",
    callers: 60,
    begins: { from: 3_100, to: 3_500 },
    run: ({ open }) => sendAndClose(open(), SHORT),
  },
  {
    name: "until-the-end",
    callers: 12,
    begins: { from: -1_000, to: -500 },
    run: async ({ open, random, isRunning }) => {
      while (isRunning()) {
        const connection = open();
        while (!connection.isClosed) {
          await connection.send({ kind: "safe", tokens: pickTokens(random, { from: 1, to: 4 }) })
            .ended;
          await sleep(systemClock, random.next() * 10);
        }
        await sleep(systemClock, 2);
      }
    },
  },
  {
    name: "begun-before",
    callers: 12,
    begins: { from: -1_000, to: -50 },
    run: async ({ open, random }) => {
      const connection = open();
      await connection.send({ kind: "stream", tokens: pickTokens(random, { from: 50, to: 250 }) })
        .ended;
      await connection.send({ kind: "stream", tokens: pickTokens(random, { from: 4, to: 50 }) })
        .ended;
      connection.destroy();
    },
  },
];

/** Stops each instance once, with callers of all groups around it. */
export async function runRawCallers(fleet: StopFleet, random: Random): Promise<void> {
  for (const [index, instance] of fleet.instances.entries()) {
    const link = await startSlowLink(instance.listen.callers, LINK);
    await warmUp(fleet, instance);
    let isRunning = true;
    const ends = GROUPS.flatMap((group) =>
      Array.from({ length: group.callers }, async () => {
        const { pid } = instance.process;
        const address = group.usesLink === true ? link.address : instance.listen.callers;
        const context: CallerContext = {
          random,
          isRunning: () => isRunning,
          open: ({ isSlowReader = false } = {}) =>
            openRawConnection({
              address,
              pid,
              group: group.name,
              readRate: isSlowReader ? SLOW_READ_RATE : undefined,
              record: (request) => fleet.record(request),
            }),
        };
        await sleep(systemClock, LEAD_TIME + pickBetween(random, group.begins));
        await group.run(context);
      }),
    );
    await sleep(systemClock, LEAD_TIME);
    await fleet.stop(index);
    isRunning = false;
    await Promise.all(ends);
    await link.close();
    await fleet.restart(index);
  }
}

/** Lets the instance learn how long streams take. */
async function warmUp(fleet: StopFleet, { listen, process: { pid } }: StopInstance): Promise<void> {
  const lengths = [4, 20, 60];
  const streams = lengths.map((tokens) => {
    const connection = openRawConnection({
      address: listen.callers,
      pid,
      group: "warm-up",
      record: (request) => fleet.record(request),
    });
    return sendAndClose(connection, { kind: "stream", tokens });
  });
  await Promise.all(streams);
}

async function sendAndClose(connection: RawConnection, request: RawRequest): Promise<void> {
  await connection.send(request).ended;
  connection.destroy();
}

async function sendPair(connection: RawConnection, random: Random): Promise<void> {
  const first = connection.send(paddedStream(random));
  const second = connection.send(random.next() < 0.5 ? SHORT : paddedStream(random));
  await Promise.all([first.ended, second.ended]);
  connection.destroy();
}

/** Writes something at a random time behind a request whose answer is longer than what the link or reader takes at once. */
async function writeBehind(
  { open, random }: CallerContext,
  write: (connection: RawConnection) => void,
  options: { readonly isSlowReader?: boolean } = {},
): Promise<void> {
  const connection = open(options);
  const { ended } = connection.send(
    random.next() < 0.5 ? plainAnswer(random) : paddedStream(random),
  );
  await sleep(systemClock, pickBetween(random, WRITE_BEHIND));
  write(connection);
  await ended;
  await sleep(systemClock, LEAD_TIME);
  connection.destroy();
}

function paddedStream(random: Random): RawRequest {
  const padding = Math.round(pickBetween(random, PADDINGS));
  return { kind: "stream", tokens: pickTokens(random, STREAM_TOKENS), padding };
}

/** Returns a request whose answer has a length and comes at once. */
function plainAnswer(random: Random): RawRequest {
  const padding = Math.round(pickBetween(random, { from: 100_000, to: 900_000 }));
  return { kind: "safe", tokens: 2, padding };
}

function pickTokens(random: Random, range: { readonly from: number; readonly to: number }): number {
  return Math.round(pickBetween(random, range));
}
