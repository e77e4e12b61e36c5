import type { EngineFailure, Worker } from "../interface/index.ts";

/** What is known about a failed call to a backend server. */
export interface FailedCall {
  readonly step: EngineFailure["step"];
  readonly cause: unknown;
  /** Whether no byte of the request can have reached the server. */
  readonly notSent: boolean;
}

/** Creates the error of a failed call to a backend server. */
export function createEngineFailure(
  worker: Worker,
  { step, cause, notSent }: FailedCall,
): EngineFailure {
  const message = `The call to ${worker.id} at ${worker.address} failed at the step "${step}": ${String(cause)}.`;
  return Object.assign(new Error(message, { cause }), { step, peer: worker.id, notSent });
}
