import { z } from "zod";
import { duration } from "../version/unit.ts";

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'Expected "IP:PORT" by number.');

const DAY = 86_400_000;

/** The settings of an entry instance that serves routed requests. Times are in milliseconds once read. */
export const routedSettingsSchema = z.object({
  name: z.string().min(1),
  zone: z.string().min(1),
  region: z.string(),
  listen: z.object({
    /** For callers' requests. */
    callers: address,
    /** For the platform's question whether the instance is ready. */
    ready: address,
    /** For callers that ask which addresses to use. */
    resolve: address,
    /** For other entry instances: digests by UDP, objects by HTTP. */
    peers: address,
    /** For metrics. */
    metrics: address.optional(),
  }),
  /** Where a few other entry instances listen for each other; some may be gone. */
  seeds: z.array(address),
  platform: z.object({ store: address, cloud: address }),
  /** How long a resolved address may be used, at most. */
  resolveLife: duration,
  /** Time from a signal to stop until the process is killed. */
  grace: duration,
  /** What all instances together may send again. */
  repeats: z.object({
    ratio: z.number().min(0),
    slack: z.number().min(0),
    window: duration,
  }),
  usage: z.object({
    /** Length of a window. */
    window: duration,
    /** How long after its end a window may be reported. */
    lateAfter: duration,
  }),
  /** What a version on trial may get; absent where workers of any version serve. */
  rollouts: z
    .object({
      /** Its part of a service's requests between an order and its deadline. */
      share: z.number().gt(0).max(1),
      /** Requests besides, over all instances. */
      slack: z.number().min(0),
    })
    .optional(),
  /** For how long no worker gets a request under which workers crashed. */
  quarantine: z.object({ lasts: duration }).default({ lasts: DAY }),
  /** For how long a lease holds after each renewal. */
  leaseTerm: duration,
  /** What the instance may use of its machine's processor; of many instances, the larger ones pass on news. */
  processor: z
    .object({
      /** The part of a core. */
      share: z.number().positive(),
      /** How much faster than one core the machine is. */
      cores: z.number().positive(),
    })
    .default({ share: 1, cores: 1 }),
});

/** Thousandths of a core that the instance may use. */
export function capacityOf({ processor }: Pick<RoutedSettings, "processor">): number {
  return Math.max(1, Math.round(processor.share * processor.cores * 1_000));
}

/** The settings of an entry instance that serves routed requests. */
export type RoutedSettings = z.infer<typeof routedSettingsSchema>;
