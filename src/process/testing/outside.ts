import type { Cloud, Worker } from "../../interface/index.ts";
import { workerNamed } from "../../request/testing/request_fleet.ts";

/** A cloud that has no machines and announces nothing. */
export const NO_CLOUD: Cloud = {
  launch: () => Promise.resolve({ kind: "refused", reason: "There is no cloud." }),
  terminate: () => Promise.resolve(),
  notices: () => Promise.resolve([]),
};

/** A worker of the service in the smallest deployment. */
export function deskWorker(id: string): Worker {
  return { ...workerNamed(id), service: "desk", zone: "z0" };
}
