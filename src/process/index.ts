export * from "./entry_instance.ts";
export * from "./settings.ts";
export * from "./system_clock.ts";
export * from "./system_random.ts";
