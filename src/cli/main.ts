import { Config, handle, run } from "@oclif/core";
import type { Command, Interfaces } from "@oclif/core";
import packageJson from "../../package.json" with { type: "json" };
import { COMMANDS } from "./commands.ts";

const NAME = "samphireshore";

/**
 * Creates the only oclif plugin in memory: the program is a single binary, so there are no files on disk in which
 * oclif could look for commands.
 */
function createPlugin(root: string, pjson: Interfaces.PJSON): Interfaces.Plugin {
  const commands = Object.entries(COMMANDS).map(([id, command]) => createLoadable(id, command));
  return {
    _base: "",
    alias: NAME,
    commandIDs: Object.keys(COMMANDS),
    commands,
    commandsDir: undefined,
    findCommand: (id: string) => Promise.resolve(findCommand(id)),
    hasManifest: false,
    hooks: {},
    isRoot: true,
    load: () => Promise.resolve(),
    moduleType: "module",
    name: NAME,
    options: { root },
    pjson,
    root,
    topics: [],
    type: "core",
    valid: true,
    version: packageJson.version,
  } as unknown as Interfaces.Plugin;
}

function findCommand(id: string): Command.Class {
  const command = COMMANDS[id];
  if (command === undefined) throw new Error(`Unknown command "${id}".`);
  return command;
}

function createLoadable(id: string, command: Command.Class): Command.Loadable {
  return {
    id,
    aliases: command.aliases,
    args: withNames(command.args),
    description: command.description,
    examples: command.examples,
    flags: withNames({ ...command.baseFlags, ...command.flags }),
    hidden: false,
    hiddenAliases: [],
    hasDynamicHelp: false,
    pluginAlias: NAME,
    pluginName: NAME,
    pluginType: "core",
    strict: command.strict,
    load: () => {
      command.id = id;
      return Promise.resolve(command);
    },
  };
}

/**
 * Adds a `name` property to each argument or flag. For plugins loaded from files, oclif does this itself. Without
 * the names, the help of a command that takes arguments fails.
 */
function withNames<Part extends object>(
  parts: Readonly<Record<string, Part>>,
): Record<string, Part> {
  return Object.fromEntries(Object.entries(parts).map(([name, part]) => [name, { ...part, name }]));
}

async function main(): Promise<void> {
  const root = process.cwd();
  const pjson = {
    name: NAME,
    version: packageJson.version,
    description: packageJson.description,
    dependencies: {},
    oclif: { bin: NAME, topicSeparator: " " },
  } as unknown as Interfaces.PJSON;
  const plugins = new Map([[NAME, createPlugin(root, pjson)]]);
  const config = new Config({ root, pjson, plugins });
  await config.load();
  await run(process.argv.slice(2), config);
}

main().catch((error: unknown) => handle(error as Error));
