// Builds dist/samphireshore: a self-contained binary, made as a Node.js single executable application.
// With the argument "platform" it builds target/entry.cjs instead: the entry instance with the platform adapter.
import { execFileSync } from "node:child_process";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";

const require = createRequire(import.meta.url);
/** Marker in the Node.js binary. postject sets the digit after it, which makes Node.js run the embedded application. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Options of both bundles. */
const BUNDLE = {
  bundle: true,
  minify: true,
  // A stack trace prints the failing line: a single-line bundle would be printed whole.
  lineLimit: 200,
  keepNames: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // hot-shots imports the first and oclif the second, only for features that are not used here. They would add 10 MB,
  // and 70 MB of resident memory.
  external: ["unix-dgram", "typescript"],
  // The package's main build uses dynamic require calls that a bundler can't resolve.
  alias: { "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js" },
  // The embedded require resolves only built-in modules and warns about the optional ones excluded above.
  banner: { js: 'require=require("node:module").createRequire(process.execPath);' },
  logLevel: "warning",
  logOverride: { "empty-import-meta": "silent" },
};

/**
 * Bundles the entry instance with the platform adapter and writes the V8 code cache of the bundle. After a power
 * failure all instances restart at once, each on a fraction of a core, and callers wait until they are ready. Without
 * the cache, compiling the bundle takes a large part of that time.
 */
async function buildPlatform() {
  // V8 accepts the cache of another bundle of the same length, and the loader would run the code of that one.
  rmSync("target/main.cache", { force: true });
  await build({
    ...BUNDLE,
    entryPoints: ["platform/main.ts"],
    outfile: "target/main.cjs",
    banner: { js: "(function (exports, require, module, __filename, __dirname) {" },
    footer: { js: "})" },
    charset: "ascii",
  });
  copyFileSync("platform/load.cjs", "target/entry.cjs");
  const loader = require(resolve("target/entry.cjs"));
  writeFileSync("target/main.cache", loader.script.createCachedData());
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
