import { readFile, writeFile } from "node:fs/promises";
import { Command, Flags } from "@oclif/core";
import {
  formatComparison,
  formatReport,
  parseTrace,
  plotReplay,
  PolicyName,
  getPolicy,
  replay,
} from "../standin/replay/index.ts";
import type { Report, Sample, Trace } from "../standin/replay/index.ts";

/** Value of `--policy` that selects every policy. */
const ALL_POLICIES = "all";
/** Exit codes. */
const EXIT_OUTCOME_FAILED = 1;
const EXIT_UNREADABLE = 2;

/** `samphireshore replay`: replays recorded traces on a virtual clock. */
export class Replay extends Command {
  static override description =
    "Replay traces through the scheduling decisions on a virtual clock, against a model of the engines. " +
    "Exits with 0 if every outcome stated in the traces holds, 1 if one doesn't, 2 if a file can't be read.";
  static override examples = [
    "samphireshore replay dist/traces/association_calm.jsonl",
    "samphireshore replay dist/traces/kortfilm_wave.jsonl --policy all --json",
  ];
  static override strict = false;
  static override flags = {
    policy: Flags.string({
      description: 'Policy to replay with; "all" replays every policy and compares the results.',
      options: [...Object.values(PolicyName), ALL_POLICIES],
      default: PolicyName.Current,
    }),
    seed: Flags.integer({ description: "Seed of the replay; defaults to the seed of the trace." }),
    plot: Flags.string({
      description:
        "SVG file to write a plot to: latency, workers and cost of the first trace under the first policy.",
    }),
    json: Flags.boolean({ description: "Print the reports as JSON, one per line." }),
  };

  override async run(): Promise<void> {
    const { argv, flags } = await this.parse(Replay);
    if (argv.length === 0) this.error("Found no file to replay.", { exit: EXIT_UNREADABLE });
    const traces: Trace[] = [];
    for (const file of argv) traces.push(await this.readTrace(String(file)));
    const names = Object.values(PolicyName).filter((name) =>
      [name, ALL_POLICIES].includes(flags.policy),
    );
    const reports: Report[] = [];
    const samples: Sample[] = [];
    for (const trace of traces) {
      for (const name of names) {
        const seed = flags.seed ?? trace.header.seed;
        const isFirst = reports.length === 0;
        const recordSample = (sample: Sample): void => {
          if (isFirst) samples.push(sample);
        };
        const report = replay(trace, { policy: getPolicy(name), seed, onSample: recordSample });
        reports.push(report);
        if (flags.json) this.log(JSON.stringify(report));
      }
    }
    if (flags.plot !== undefined) await writePlot(flags.plot, { trace: traces[0], samples });
    if (!flags.json) this.printReports(reports);
    // With several policies, the stated outcomes are checked for the first one only.
    const checkedReports = reports.filter(
      ({ policy }) => names.length === 1 || policy === names[0],
    );
    if (checkedReports.some(({ holds }) => !holds)) this.exit(EXIT_OUTCOME_FAILED);
  }

  private printReports(reports: readonly Report[]): void {
    for (const report of reports) this.log(formatReport(report));
    if (reports.length > 1) this.log(`\n${formatComparison(reports)}`);
  }

  private async readTrace(file: string): Promise<Trace> {
    let text: string;
    try {
      text = await readFile(file, "utf8");
    } catch (error) {
      return this.error(`Can't read ${file}: ${String(error)}.`, { exit: EXIT_UNREADABLE });
    }
    const result = parseTrace(text, file);
    if (result.kind === "read") return result.trace;
    return this.error(`${file}:${result.line}: ${result.message}`, { exit: EXIT_UNREADABLE });
  }
}

async function writePlot(
  file: string,
  { trace, samples }: { trace: Trace | undefined; samples: readonly Sample[] },
): Promise<void> {
  if (trace !== undefined) await writeFile(file, plotReplay(trace, samples));
}
