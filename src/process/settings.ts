import { z } from "zod";
import { byteSize, duration } from "../version/index.ts";

const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'Expected a numeric "IP:PORT", such as "10.0.0.7:8080".',
  );

/** Addresses of the platform's services. */
const platform = z.strictObject({
  objects: address,
  cloud: address,
  instances: address,
});

/** Schema of the credentials: the key of operators and the key of entry instances among each other. */
export const secretsSchema = z.strictObject({
  operatorKey: z.string().min(8),
  peerKey: z.string().min(8),
});

/** Credentials of one entry instance. */
export type Secrets = z.infer<typeof secretsSchema>;

/** Schema of the settings of one entry instance that it can't obtain from the platform. */
export const entrySettingsSchema = z.strictObject({
  /** Name of the instance. Name and incarnation together form the member id. */
  name: z.string().min(1),
  zone: z.string().min(1),
  region: z.string().min(1),
  /** Listen address for callers and operators. */
  callers: address,
  /** Listen address for other entry instances. */
  peers: address,
  /** Peer addresses of a few other entry instances, contacted to join the fleet. */
  seeds: z.array(address),
  platform,
  /** The credentials, or the path of a file with them, relative to the folder of the settings file. */
  secrets: z.union([z.string().min(1), secretsSchema]),
  tls: z.strictObject({ certificate: z.string(), key: z.string() }).optional(),
  /** `IP:PORT` of a StatsD server that receives the counters by UDP. */
  statsd: address.optional(),
  /** Memory limit of the process in bytes. Near the limit, new requests are refused. */
  memory: byteSize.default(1_000_000_000),
  /** Number of file descriptors of the process, of which callers get a share. */
  descriptors: z.number().int().positive().default(4_200),
  /** Whether state changes are logged to standard error, one JSON line each. */
  log: z.boolean().default(true),
  /** Path of a file that receives a trace of the traffic. */
  record: z.string().optional(),
  /** Time without a message from the platform after which its objects are read, in milliseconds. */
  reread: duration.default(30_000),
});

/** The settings of one entry instance as written in the settings file. */
export type EntrySettingsFile = z.infer<typeof entrySettingsSchema>;

/** The settings of one entry instance with its credentials loaded. */
export type EntrySettings = Omit<EntrySettingsFile, "secrets"> & { readonly secrets: Secrets };
