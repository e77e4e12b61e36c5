import type { Command } from "@oclif/core";
import { Check } from "./check.ts";
import { Dev } from "./dev.ts";
import { Init } from "./init.ts";
import { PresetUse } from "./preset_use.ts";
import { Replay } from "./replay.ts";
import { Serve } from "./serve.ts";
import { Standin } from "./standin.ts";

/** Every command by its id; `:` stands where a person types a space. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  check: Check,
  dev: Dev,
  init: Init,
  "preset:use": PresetUse,
  replay: Replay,
  serve: Serve,
  standin: Standin,
};
