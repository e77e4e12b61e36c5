import type { Command } from "@oclif/core";
import { request } from "undici";
import { routedStatusSchema } from "../process/routed_status.ts";
import type { RoutedStatus } from "../process/routed_status.ts";

/** Time limit for the response, in milliseconds. */
const REQUEST_TIMEOUT = 5_000;

/**
 * Fetches the status of an entry instance that serves routed requests. If the request fails or the response is
 * invalid, the command ends with exit code 2.
 *
 * @param command The running command, which prints the error.
 * @param address `IP:PORT` of the instance's metrics listener.
 */
export async function fetchRoutedStatus(command: Command, address: string): Promise<RoutedStatus> {
  try {
    const response = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT),
    });
    return routedStatusSchema.parse(await response.body.json());
  } catch (cause) {
    return command.error(`Can't fetch the status from ${address}: ${String(cause)}.`, { exit: 2 });
  }
}
