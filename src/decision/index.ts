export * from "./job.ts";
export * from "./scheduler.ts";
