export * from "./lower_bound.ts";
export * from "./outcomes.ts";
export * from "./policy.ts";
export * from "./replay.ts";
export * from "./report.ts";
export * from "./report_text.ts";
export * from "./trace.ts";
