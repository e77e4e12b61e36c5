export * from "./deployment.ts";
export * from "./revision.ts";
export * from "./slot_map.ts";
export * from "./unit.ts";
export * from "./settings_text.ts";
