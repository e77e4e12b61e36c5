export { PREFIX_BLOCK_TOKENS } from "./arrival.ts";
export * from "./request_id.ts";
export * from "./slot_replica.ts";
export * from "./chat_request.ts";
export * from "./environment.ts";
export * from "./request_api.ts";
export * from "./request_key.ts";
export * from "./request_service.ts";
