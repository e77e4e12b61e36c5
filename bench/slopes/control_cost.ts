import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { startEmbedded } from "../../src/cli/embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue } from "../../src/cli/template/index.ts";

/** What control costs at one number of instances, all in this process and over loopback. */
export interface ControlCost {
  readonly instances: number;
  /** Bytes a second that one instance sends and receives, the platform's answers included. */
  readonly bytes: number;
  /** Share of a core for one instance; the stand-ins of platform and workers are in it. */
  readonly core: number;
  /** Bytes of heap for one instance. */
  readonly heap: number;
}

/** Until the slots have been assigned and balanced, in milliseconds. */
const FORMING = 20_000;
const MEASURED = 6_000;

/** Starts the given number of instances without any load, and measures them for some seconds. */
export async function measureControl(instances: number): Promise<ControlCost> {
  const sockets = new Set<Socket>();
  const onSocket = (message: unknown): void => {
    sockets.add((message as { socket: Socket }).socket);
  };
  // Only the connecting ends are counted, both ways: each byte passes one of them.
  subscribe("net.client.socket", onSocket);
  const heapBefore = process.memoryUsage().heapUsed;
  const deployment = await startEmbedded({
    port: 0,
    entryInstances: instances,
    workers: { "entry-model": 1, "finish-desk": 1 },
    zones: ASSOCIATION.zones,
    source: documentValue(ASSOCIATION, accountKeys(ASSOCIATION, {})),
    preset: "day",
    operatorKey: "operator-key-of-slopes",
  });
  try {
    await pause(FORMING);
    const bytesBefore = passed(sockets);
    const usageBefore = process.cpuUsage();
    const began = performance.now();
    await pause(MEASURED);
    const seconds = (performance.now() - began) / 1_000;
    const { user, system } = process.cpuUsage(usageBefore);
    return {
      instances,
      bytes: (passed(sockets) - bytesBefore) / seconds / instances,
      core: (user + system) / 1e6 / seconds / instances,
      heap: (process.memoryUsage().heapUsed - heapBefore) / instances,
    };
  } finally {
    unsubscribe("net.client.socket", onSocket);
    await deployment.close();
  }
}

function passed(sockets: ReadonlySet<Socket>): number {
  let bytes = 0;
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten;
  return bytes;
}
