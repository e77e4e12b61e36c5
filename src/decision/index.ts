export * from "./entry_overload.ts";
export * from "./fleet.ts";
export * from "./job.ts";
export * from "./resolve.ts";
export * from "./scheduler.ts";
export * from "./triage.ts";
