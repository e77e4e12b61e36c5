import { Agent } from "node:http";
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { CLIENT_KEY, configuration } from "../../platform/testing/entry_fleet.ts";
import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { HOT_KEY, send } from "./callers.ts";
import type { SoakFleet } from "./fleet.ts";
import { wallNow } from "./observation.ts";
import { BOUNDS } from "./promises.ts";
import type { SoakRecord } from "./record.ts";

/** The operator, who adds routes and looks where they are in force. */
export interface Operator {
  /** Writes a configuration with one more route. */
  change(): void;
  /** Asks each instance for the routes that were added last, again and again. */
  probe(fleet: SoakFleet, goesOn: () => boolean): Promise<void>;
}

/** Milliseconds between two questions to an instance, and how many of the last routes are asked for. */
const PROBE_PERIOD = 300;
const PROBED_ROUTES = 2;

interface OperatorRoute {
  readonly name: string;
  readonly path_prefix: string;
}

/** Writes the first configuration and makes the operator. */
export function createOperator(platform: PlatformStandin, record: SoakRecord): Operator {
  const { routes: usual, tenants } = configuration(1) as {
    readonly routes: readonly OperatorRoute[];
    readonly tenants: readonly object[];
  };
  const [first] = usual;
  if (first === undefined) throw new Error("The configuration has no route.");
  const { perSecond, burst } = BOUNDS.quota;
  const hot = { name: "regatta", api_keys: [HOT_KEY], rate_per_s: perSecond, burst };
  const added: OperatorRoute[] = [];
  let version = 0;
  let asked = 0;

  const write = (): void => {
    version++;
    const routes = [...usual, ...added];
    platform.put("config", "main", configuration(version, { routes, tenants: [...tenants, hot] }));
  };
  write();
  const ask = async (instance: string, path: string): Promise<number> => {
    const agent = new Agent();
    const id = `probe-${asked++}`;
    const question = { id, instance, path, agent, method: "GET", body: "", key: CLIENT_KEY };
    const { status } = await send(question);
    agent.destroy();
    return status;
  };
  const probeAt = async (fleet: SoakFleet, place: number): Promise<void> => {
    const instance = fleet.instanceAt(place);
    const process = fleet.processAt(place);
    for (const { name, path_prefix: prefix } of added.slice(-PROBED_ROUTES)) {
      const at = wallNow();
      const status = await ask(instance, `${prefix}x`);
      // Another process may have answered where one was started meanwhile.
      if (fleet.processAt(place) !== process) return;
      record.probed({ instance, process, version: Number(name.slice(1)), at, status });
    }
  };
  return {
    change: () => {
      const next = version + 1;
      added.push({ ...first, name: `v${next}`, path_prefix: `/added-${next}/` });
      write();
      record.configured(next);
    },
    probe: async (fleet, goesOn) => {
      while (goesOn()) {
        await Promise.all(fleet.places.map((place) => probeAt(fleet, place)));
        await sleep(systemClock, PROBE_PERIOD);
      }
    },
  };
}
