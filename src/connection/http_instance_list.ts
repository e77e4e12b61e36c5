import { request } from "undici";
import type { InstanceList, Worker } from "../interface/index.ts";

/** The platform's list of workers by HTTP. */
export function createHttpInstanceList(address: string): InstanceList {
  return {
    workers: async () => {
      const answer = await request(`http://${address}/instances`);
      return (await answer.body.json()) as readonly Worker[];
    },
  };
}
