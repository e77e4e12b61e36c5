/**
 * What the decisions take from the configuration in force. A deployment document fits as it is: these
 * types name the part of it that decisions read.
 *
 * @module
 */
import type { Lane } from "./job.ts";

/** What the decisions need to know of a service. */
export interface ServicePolicy {
  /** The lane of requests that don't name one. */
  readonly lane: `${Lane}`;
  readonly target: {
    /** Milliseconds within which 95 in 100 first tokens are to arrive. */
    readonly firstToken: number;
    /** Milliseconds that 95 in 100 gaps between tokens are to stay under. */
    readonly betweenTokens: number;
    /** Milliseconds that a request may take when the caller names no deadline. */
    readonly deadline: number;
  };
}

/** What the decisions need to know of a client account. */
export interface AccountPolicy {
  /** The account's part of a contended service, against the others' weights. */
  readonly weight: number;
  /** Requests accepted and not ended, over all entry instances. */
  readonly maxRequests: number;
  /** Tokens of work accepted and not ended, over all entry instances. */
  readonly maxTokens: number;
}

/** What a machine class can do. */
export interface MachinePolicy {
  /** Tokens generated a second by a full batch. */
  readonly tokensPerSecond: number;
  /** Prompt tokens computed a second. */
  readonly prefillPerSecond: number;
  /** Tokens of KV cache. */
  readonly cacheTokens: number;
}

/** Prices of a machine class in an availability zone, in euros an hour. */
export interface PricePolicy {
  readonly zone: string;
  readonly machineClass: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/**
 * The settings of all decisions of one entry instance; a `Deployment` is one.
 *
 * @example
 * ```ts
 * scheduler.configure(revision.deployment, clock.now());
 * ```
 */
export interface Policy {
  readonly services: Readonly<Record<string, ServicePolicy>>;
  readonly accounts: Readonly<Record<string, AccountPolicy>>;
  readonly machineClasses: Readonly<Record<string, MachinePolicy>>;
  readonly offers: readonly PricePolicy[];
}

/** A policy that names nothing: every service and account gets the defaults. */
export const EMPTY_POLICY: Policy = { services: {}, accounts: {}, machineClasses: {}, offers: [] };

/**
 * Used for a service that the policy doesn't name: the latency that the system is built for, 1.6 s to the
 * first token and 44 ms between tokens for 95 in 100.
 */
const DEFAULT_TARGET: ServicePolicy["target"] = {
  firstToken: 1_600,
  betweenTokens: 44,
  deadline: 300_000,
};

/** Used for a machine class that the policy doesn't name: a small accelerator of today. */
const DEFAULT_MACHINE: MachinePolicy = {
  tokensPerSecond: 900,
  prefillPerSecond: 8_000,
  cacheTokens: 100_000,
};

/** The target of a service. */
export function targetOf(policy: Policy, service: string): ServicePolicy["target"] {
  return policy.services[service]?.target ?? DEFAULT_TARGET;
}

/** What a machine class can do. */
export function machineOf(policy: Policy, machineClass: string): MachinePolicy {
  return policy.machineClasses[machineClass] ?? DEFAULT_MACHINE;
}

/** The middle of all machine classes, for work whose machine isn't chosen yet. */
export function machineAverage(policy: Policy): MachinePolicy {
  const machines = Object.values(policy.machineClasses);
  if (machines.length === 0) return DEFAULT_MACHINE;
  const average = (value: (machine: MachinePolicy) => number): number =>
    machines.reduce((sum, machine) => sum + value(machine), 0) / machines.length;
  return {
    tokensPerSecond: average(({ tokensPerSecond }) => tokensPerSecond),
    prefillPerSecond: average(({ prefillPerSecond }) => prefillPerSecond),
    cacheTokens: average(({ cacheTokens }) => cacheTokens),
  };
}
