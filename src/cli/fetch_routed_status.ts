import type { Command } from "@oclif/core";
import { request } from "undici";
import { routedStatusSchema } from "../process/routed_status.ts";
import type { RoutedStatus } from "../process/routed_status.ts";

/** How long the instance may take to answer, in milliseconds. */
const TIMEOUT = 5_000;

/** Asks an instance at its metrics address; ends the command with 2 where it doesn't answer. */
export async function fetchRoutedStatus(command: Command, address: string): Promise<RoutedStatus> {
  try {
    const answer = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(TIMEOUT),
    });
    return routedStatusSchema.parse(await answer.body.json());
  } catch (cause) {
    return command.error(`Asking ${address} for its status: ${String(cause)}.`, { exit: 2 });
  }
}
