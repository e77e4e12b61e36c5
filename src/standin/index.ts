export * from "./backend_server.ts";
export * from "./simulated_cloud.ts";
export * from "./engine_model.ts";
export * from "./object_table.ts";
export * from "./platform_server.ts";
export * from "./weight_store.ts";
