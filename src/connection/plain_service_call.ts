import type {
  Dispatch,
  EngineEvent,
  ExchangeEnd,
  ResponseHead,
  Worker,
  WorkerConnections,
} from "../interface/index.ts";
import { MAX_RESPONSE_BYTES } from "./http_body.ts";
import { createEngineFailure } from "./engine_failure.ts";

/** A call to a plain service. */
export interface PlainCall {
  readonly worker: Worker;
  readonly dispatch: Dispatch;
  readonly signal: AbortSignal;
}

/** A complete response. */
interface PlainResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/**
 * Calls a plain service with an ordinary HTTP request. The service's status is part of the result, even if
 * it is an error. The request id is sent along, so that the service can discard duplicates.
 *
 * @throws {EngineFailure} If there is no complete response, or the signal is aborted.
 */
export async function* callPlainService(
  connections: WorkerConnections,
  call: PlainCall,
): AsyncGenerator<EngineEvent> {
  yield { kind: "started", recomputed: 0, cached: 0 };
  const { head, body } = await exchange(connections, call);
  const type = head.byName.get("content-type") ?? "";
  const result = JSON.stringify({ status: head.status, type, body: body.toString("utf8") });
  yield { kind: "finished", reason: "stop", body: result };
}

function exchange(
  connections: WorkerConnections,
  { worker, dispatch, signal }: PlainCall,
): Promise<PlainResponse> {
  const [method = "GET", target = "/"] = dispatch.path.split(" ", 2);
  const address = new URL(worker.address).host;
  const headers = [
    ...["Host", address],
    ...["Content-Type", "application/json"],
    ...["X-Request-Id", dispatch.id],
    ...["Idempotency-Key", dispatch.id],
  ];
  return new Promise((resolve, reject) => {
    let head: ResponseHead | undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (cause: unknown, notSent: boolean): void => {
      signal.removeEventListener("abort", abort);
      reject(createEngineFailure(worker, { step: "connect", cause, notSent }));
    };
    const end = (result: ExchangeEnd): void => {
      signal.removeEventListener("abort", abort);
      if (result.kind === "complete" && head !== undefined) {
        resolve({ head, body: Buffer.concat(chunks) });
      } else {
        fail(
          result.kind === "complete" ? "no response" : result.detail,
          result.kind === "not-sent",
        );
      }
    };
    // Not every plain service echoes the request id, so responses aren't matched with it.
    const request = {
      method,
      target,
      headers,
      body: Buffer.from(dispatch.body),
      id: undefined,
    };
    const receive = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= MAX_RESPONSE_BYTES) return;
      started?.abort();
      fail(`The response is larger than ${MAX_RESPONSE_BYTES} bytes.`, false);
    };
    const sink = { head: (one: ResponseHead) => (head = one), data: receive, end };
    const started = connections.exchange({ id: worker.id, startedAt: 0, address }, request, {
      sink,
      repeatable: false,
      maxConnections: Infinity,
    });
    const abort = (): void => {
      started?.abort();
      fail(signal.reason, false);
    };
    if (signal.aborted) abort();
    else signal.addEventListener("abort", abort);
  });
}
