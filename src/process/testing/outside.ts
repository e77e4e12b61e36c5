import type { Cloud, Worker } from "../../interface/index.ts";
import { workerNamed } from "../../request/testing/request_fleet.ts";

/** A cloud without machines and notices. */
export const NO_CLOUD: Cloud = {
  launch: () => Promise.resolve({ kind: "refused", reason: "There is no cloud." }),
  terminate: () => Promise.resolve(),
  notices: () => Promise.resolve([]),
};

/** A worker of the service in the minimal deployment. */
export function deskWorker(id: string): Worker {
  return { ...workerNamed(id), service: "desk", zone: "z0" };
}
