export * from "./association.ts";
export * from "./deployment_template.ts";
export * from "./kortfilm.ts";
export * from "./settings_files.ts";
