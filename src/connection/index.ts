export * from "./event_stream.ts";
export * from "./http_engine.ts";
export * from "./http_object_store.ts";
export * from "./http_body.ts";
export * from "./http_listener.ts";
export * from "./route_parameter.ts";
