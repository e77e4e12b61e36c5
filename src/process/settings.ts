import { z } from "zod";
import { byteSize, duration } from "../version/index.ts";

const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'Expected "IP:PORT" by number, such as "10.0.0.7:8080".',
  );

/** Where the platform's services are. */
const platform = z.strictObject({
  objects: address,
  cloud: address,
  instances: address,
});

/** Credentials of operators, and of the entry instances to each other. */
export const secretsSchema = z.strictObject({
  operatorKey: z.string().min(8),
  peerKey: z.string().min(8),
});

/** Credentials of one entry instance. */
export type Secrets = z.infer<typeof secretsSchema>;

/** The settings of one entry instance: what it can't learn from the platform. */
export const entrySettingsSchema = z.strictObject({
  /** The instance's name; with its incarnation it makes the member id. */
  name: z.string().min(1),
  zone: z.string().min(1),
  region: z.string().min(1),
  /** Listener for callers and operators. */
  callers: address,
  /** Listener for other entry instances. */
  peers: address,
  /** Listeners of a few other entry instances, to join by. */
  seeds: z.array(address),
  platform,
  /** Credentials: given here, or the path of a file that holds them, from the settings' folder on. */
  secrets: z.union([z.string().min(1), secretsSchema]),
  tls: z.strictObject({ certificate: z.string(), key: z.string() }).optional(),
  /** Where counters go by UDP, `IP:PORT`. */
  statsd: address.optional(),
  /** Memory that the process may use; near it new requests are turned away. */
  memory: byteSize.default(1_000_000_000),
  /** Whether changes of state are logged to standard error, a JSON line each. */
  log: z.boolean().default(true),
  /** A file to record a trace of the traffic to. */
  record: z.string().optional(),
  /** How long the platform may be silent before a read of its objects is tried. */
  reread: duration.default(30_000),
});

/** The settings of one entry instance, as their file has them. */
export type EntrySettingsFile = z.infer<typeof entrySettingsSchema>;

/** The settings of one entry instance, its credentials read. */
export type EntrySettings = Omit<EntrySettingsFile, "secrets"> & { readonly secrets: Secrets };
