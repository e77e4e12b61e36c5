import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { startEmbedded } from "../../src/cli/embedded_deployment.ts";
import { accountKeys, ASSOCIATION, documentValue } from "../../src/cli/template/index.ts";

/** Cost of control traffic at one number of instances, all in this process and over loopback. */
export interface ControlCost {
  readonly instances: number;
  /** Bytes per second that one instance sends and receives, including the platform's answers. */
  readonly bytes: number;
  /** Share of a core per instance, including the stand-ins of the platform and the backend servers. */
  readonly core: number;
  /** Heap per instance, in bytes. */
  readonly heap: number;
}

/** Time until the slots have been assigned and balanced, in milliseconds. */
const FORMATION_TIME = 20_000;
/** Duration of the measurement, in milliseconds. */
const MEASUREMENT_TIME = 6_000;

/** Starts a number of instances without load and measures them. */
export async function measureControl(instances: number): Promise<ControlCost> {
  const sockets = new Set<Socket>();
  const onSocket = (message: unknown): void => {
    sockets.add((message as { socket: Socket }).socket);
  };
  // Only client sockets are counted, in both directions: each byte passes exactly one of them.
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
    await pause(FORMATION_TIME);
    const bytesBefore = countBytes(sockets);
    const usageBefore = process.cpuUsage();
    const startedAt = performance.now();
    await pause(MEASUREMENT_TIME);
    const seconds = (performance.now() - startedAt) / 1_000;
    const { user, system } = process.cpuUsage(usageBefore);
    return {
      instances,
      bytes: (countBytes(sockets) - bytesBefore) / seconds / instances,
      core: (user + system) / 1e6 / seconds / instances,
      heap: (process.memoryUsage().heapUsed - heapBefore) / instances,
    };
  } finally {
    unsubscribe("net.client.socket", onSocket);
    await deployment.close();
  }
}

function countBytes(sockets: ReadonlySet<Socket>): number {
  let bytes = 0;
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten;
  return bytes;
}
