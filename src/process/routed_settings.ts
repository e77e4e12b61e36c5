import { z } from "zod";
import { byteSize, duration } from "../version/unit.ts";

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'Expected a numeric "IP:PORT".');

const DAY = 86_400_000;

/** Schema of the settings of an entry instance that serves routed requests. Parsed durations are in milliseconds. */
export const routedSettingsSchema = z.object({
  name: z.string().min(1),
  zone: z.string().min(1),
  region: z.string(),
  listen: z.object({
    /** Address for callers' requests. */
    callers: address,
    /** Address for the platform's readiness check. */
    ready: address,
    /** Address for callers' resolve requests, which return the addresses of ready instances. */
    resolve: address,
    /** Address for other entry instances: digests by UDP, objects by HTTP. */
    peers: address,
    /** Address for the metrics. */
    metrics: address.optional(),
  }),
  /** Peer addresses of a few other entry instances, some of which may no longer exist. */
  seeds: z.array(address),
  platform: z.object({ store: address, cloud: address }),
  /** Maximum time to live of a resolved address. */
  resolveLife: duration,
  /** Time from a stop signal until the process is killed. */
  grace: duration,
  /** Retry budget of all instances together. */
  repeats: z.object({
    ratio: z.number().min(0),
    slack: z.number().min(0),
    window: duration,
  }),
  /** Limits on client accounts. If absent, an account's requests of all sizes are treated alike. */
  quotas: z
    .object({
      /** Time of an account's rate that its large requests leave to small ones and to those that were refused before. */
      reserve: duration,
    })
    .optional(),
  usage: z.object({
    /** Length of a reporting window. */
    window: duration,
    /** Maximum delay of a window's report after the end of the window. */
    lateAfter: duration,
  }),
  /** Limits of the requests to a version on trial. If absent, workers of all versions serve. */
  rollouts: z
    .object({
      /** Maximum fraction of a service's requests between a rollout order and its deadline. */
      share: z.number().gt(0).max(1),
      /** Number of requests allowed in addition to the fraction, over all instances. */
      slack: z.number().min(0),
    })
    .optional(),
  /** Duration of the quarantine of a request that crashes workers. */
  quarantine: z.object({ lasts: duration }).default({ lasts: DAY }),
  placement: z
    .object({
      /**
       * Whether all workers of a service are expected to be equally fast, or each one as fast as its recent first
       * events show. Only workers with engines are measured.
       */
      workerSpeeds: z.enum(["equal", "measured"]).default("equal"),
      /**
       * Whether long prompts of routes with long latency targets share all workers with other prompts, or are sent to
       * workers of their own, which serves short requests better and long prompts worse.
       */
      longPrompts: z.enum(["together", "separated"]).default("together"),
    })
    .default({ workerSpeeds: "equal", longPrompts: "together" }),
  /**
   * Where the records are kept of the versions at which streams began. With `stored`, streams can go on after all
   * instances have ended at once, at the price of writes while several versions serve. If absent, they are stored as
   * long as every instance exchanges digests with every other, and kept in memory only in a larger fleet.
   */
  streamRecords: z.enum(["memory", "stored"]).optional(),
  /** The limits of the machine on the process, from which the limits on what is kept for callers follow. */
  machine: z
    .object({
      /** Memory of the process. */
      memory: byteSize,
      /** Number of file descriptors of the process. */
      descriptors: z.number().int().positive(),
    })
    .default({ memory: 350_000_000, descriptors: 4_200 }),
  /** Duration of a lease after each renewal. */
  leaseTerm: duration,
  /** The instance's share of its machine's processor. In a large fleet, the instances with more become relays. */
  processor: z
    .object({
      /** Number of cores, or fraction of one, that the instance may use. */
      share: z.number().positive(),
      /** Speed factor of one core of the machine. */
      cores: z.number().positive(),
    })
    .default({ share: 1, cores: 1 }),
});

/** Returns the instance's processor capacity in thousandths of a core, at least 1. */
export function capacityOf({ processor }: Pick<RoutedSettings, "processor">): number {
  return Math.max(1, Math.round(processor.share * processor.cores * 1_000));
}

/** The settings of an entry instance that serves routed requests. */
export type RoutedSettings = z.infer<typeof routedSettingsSchema>;
