export * from "./request_id.ts";
export * from "./slot_replica.ts";
export * from "./chat_request.ts";
