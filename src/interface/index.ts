export * from "./clock.ts";
export * from "./cloud.ts";
export * from "./engine.ts";
export * from "./machine.ts";
export * from "./object_store.ts";
export * from "./peer.ts";
export * from "./random.ts";
export * from "./record.ts";
