import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Args, Command, Flags } from "@oclif/core";
import { ASSOCIATION_TEMPLATE, KORTFILM_TEMPLATE, createSettingsFiles } from "./template/index.ts";

const TEMPLATES = { association: ASSOCIATION_TEMPLATE, kortfilm: KORTFILM_TEMPLATE };
/** File modes: files with credentials are readable by their owner only, the others by everyone. */
const OWNER_ONLY_MODE = 0o600;
const WORLD_READABLE_MODE = 0o644;

/** `samphireshore init`: writes all settings files of a deployment. */
export class Init extends Command {
  static override description =
    "Write a complete, commented set of settings files for a deployment. The commands serve, apply and standin accept them unchanged.";
  static override examples = ["samphireshore init association ./association"];
  static override enableJsonFlag = true;
  static override args = {
    deployment: Args.string({ options: Object.keys(TEMPLATES), required: true }),
    dir: Args.string({
      description: "Folder to write to. Existing files are not overwritten without --force.",
      required: true,
    }),
  };
  static override flags = {
    force: Flags.boolean({ description: "Overwrite existing files." }),
  };

  override async run(): Promise<{ files: string[] }> {
    const { args, flags } = await this.parse(Init);
    const template = args.deployment === "kortfilm" ? KORTFILM_TEMPLATE : ASSOCIATION_TEMPLATE;
    await mkdir(args.dir, { recursive: true });
    const files: string[] = [];
    for (const file of createSettingsFiles(template)) {
      const path = join(args.dir, file.name);
      await this.writeSettingsFile(path, { ...file, force: flags.force });
      files.push(path);
      this.log(path);
    }
    return { files };
  }

  private async writeSettingsFile(
    path: string,
    { text, isSecret, force }: { text: string; isSecret: boolean; force: boolean },
  ): Promise<void> {
    try {
      const mode = isSecret ? OWNER_ONLY_MODE : WORLD_READABLE_MODE;
      await writeFile(path, text, { mode, flag: force ? "w" : "wx" });
    } catch (cause) {
      this.error(
        `Can't write ${path}: ${String(cause)}. Use --force to overwrite existing files.`,
        {
          exit: 1,
        },
      );
    }
  }
}
