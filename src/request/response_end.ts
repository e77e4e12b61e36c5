import type { ServerResponse } from "node:http";

/** What of a response had been handed to the operating system when it or its connection closed. */
export enum ResponseEnd {
  /** The whole response. The caller may still have to receive it. */
  Written = "written",
  /** The response had ended, but its last bytes were still held by the process. */
  Unwritten = "unwritten",
  /** The response had begun and not ended. */
  Partial = "partial",
  /** Nothing. */
  Unanswered = "unanswered",
}

/** Returns how a response that has closed ended. */
export function responseEndOf(
  response: Pick<ServerResponse, "headersSent" | "writableEnded" | "writableFinished">,
): ResponseEnd {
  if (response.writableFinished) return ResponseEnd.Written;
  if (response.writableEnded) return ResponseEnd.Unwritten;
  return response.headersSent ? ResponseEnd.Partial : ResponseEnd.Unanswered;
}
