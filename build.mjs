// Builds dist/samphireshore: one self-contained binary, a Node single-executable application.
// With the word "platform" it builds target/entry.cjs instead: the entry instance with the users' adapter.
import { execFileSync } from "node:child_process";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";

const require = createRequire(import.meta.url);
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** What both bundles are built with. */
const BUNDLE = {
  bundle: true,
  minify: true,
  // A stack trace prints the line that failed: a bundle on one line would print all of itself.
  lineLimit: 200,
  keepNames: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // oclif would pull these in without needing them here: 10 MB and 70 MB resident.
  external: ["unix-dgram", "typescript"],
  // The main build of this package calls require in a way that a bundle can't follow.
  alias: { "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js" },
  // The embedded require knows built-in modules only and warns about the optional ones left out above.
  banner: { js: 'require=require("node:module").createRequire(process.execPath);' },
  logLevel: "warning",
  logOverride: { "empty-import-meta": "silent" },
};

/**
 * Bundles the entry instance with the users' adapter, and compiles it ahead. After a loss of power every
 * instance starts anew on a part of a core, and callers wait for as long as that takes; the bundle's compilation
 * is a good part of it.
 */
async function buildPlatform() {
  await build({
    ...BUNDLE,
    entryPoints: ["platform/main.ts"],
    outfile: "target/main.cjs",
    banner: { js: "(function (exports, require, module, __filename, __dirname) {" },
    footer: { js: "})" },
    charset: "ascii",
  });
  copyFileSync("platform/load.cjs", "target/entry.cjs");
  const loaded = require(resolve("target/entry.cjs"));
  writeFileSync("target/main.cache", loaded.script.createCachedData());
}

if (process.argv[2] === "platform") {
  await buildPlatform();
  process.exit(0);
}

mkdirSync("dist", { recursive: true });
await build({ ...BUNDLE, entryPoints: ["src/cli/main.ts"], outfile: "dist/main.cjs" });
writeFileSync(
  "dist/sea.json",
  JSON.stringify({
    main: "dist/main.cjs",
    output: "dist/sea.blob",
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, "dist/samphireshore");
chmodSync("dist/samphireshore", 0o755);
await inject("dist/samphireshore", "NODE_SEA_BLOB", readFileSync("dist/sea.blob"), {
  sentinelFuse: FUSE,
});
console.log("built dist/samphireshore");
