import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "src/**/*_test.ts",
      "model/**/*_test.ts",
      "traces/**/*_test.ts",
      "bench/**/*_test.ts",
      "platform/**/*_test.ts",
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
