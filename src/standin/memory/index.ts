export * from "./pause_control.ts";
export * from "./memory_engines.ts";
export * from "./memory_network.ts";
export * from "./memory_store.ts";
export * from "./stalling_clock.ts";
export * from "./virtual_clock.ts";
