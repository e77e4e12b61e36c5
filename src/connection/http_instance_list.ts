import { request } from "undici";
import { readText } from "./http_body.ts";
import type { InstanceList, Worker } from "../interface/index.ts";

/**
 * Creates an HTTP client for the platform's list of workers.
 *
 * @param address `IP:PORT` of the platform's API.
 */
export function createHttpInstanceList(address: string): InstanceList {
  return {
    workers: async () => {
      const response = await request(`http://${address}/instances`);
      return JSON.parse(await readText(response.body)) as readonly Worker[];
    },
  };
}
