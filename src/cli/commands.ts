import type { Command } from "@oclif/core";
import { Apply } from "./apply.ts";
import { Change } from "./change.ts";
import { Check } from "./check.ts";
import { Demo } from "./demo.ts";
import { Dev } from "./dev.ts";
import { Drain } from "./drain.ts";
import { Init } from "./init.ts";
import { PresetList } from "./preset_list.ts";
import { PresetUse } from "./preset_use.ts";
import { Replay } from "./replay.ts";
import { Request } from "./request.ts";
import { RolloutStatus } from "./rollout_status.ts";
import { Routed } from "./routed.ts";
import { RoutedAccounts } from "./routed_accounts.ts";
import { Serve } from "./serve.ts";
import { Services } from "./services.ts";
import { Standin } from "./standin.ts";
import { Status } from "./status.ts";

/** All commands by id. A `:` in an id is typed as a space on the command line. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  apply: Apply,
  change: Change,
  check: Check,
  demo: Demo,
  dev: Dev,
  drain: Drain,
  init: Init,
  "preset:list": PresetList,
  "preset:use": PresetUse,
  replay: Replay,
  request: Request,
  "rollout:status": RolloutStatus,
  routed: Routed,
  "routed:accounts": RoutedAccounts,
  serve: Serve,
  services: Services,
  standin: Standin,
  status: Status,
};
