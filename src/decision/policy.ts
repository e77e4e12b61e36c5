/**
 * The settings that the scheduling decisions read from the current configuration. A deployment
 * document satisfies these types; they name the part of it that decisions read.
 *
 * @module
 */
import type { Lane } from "./job.ts";

/** The settings of a service. */
export interface ServicePolicy {
  /** The lane of requests that don't name one. */
  readonly lane: `${Lane}`;
  readonly target: {
    /** Milliseconds within which 95 in 100 first tokens are to arrive. */
    readonly firstToken: number;
    /** Milliseconds that 95 in 100 gaps between tokens are to stay below. */
    readonly betweenTokens: number;
    /** Milliseconds that a request may take if the caller gives no deadline. */
    readonly deadline: number;
  };
}

/** The settings of a client account. */
export interface AccountPolicy {
  /** The account's weight in a contended service, relative to the other accounts. */
  readonly weight: number;
  /** Maximum number of accepted and not ended requests, over all entry instances. */
  readonly maxRequests: number;
  /** Maximum tokens of work of accepted and not ended requests, over all entry instances. */
  readonly maxTokens: number;
}

/** The performance of a machine class. */
export interface MachinePolicy {
  /** Tokens generated per second by a full batch. */
  readonly tokensPerSecond: number;
  /** Prompt tokens computed per second. */
  readonly prefillPerSecond: number;
  /** Capacity of the KV cache, in tokens. */
  readonly cacheTokens: number;
}

/** Prices of a machine class in an availability zone, in euros per hour. */
export interface PricePolicy {
  readonly zone: string;
  readonly machineClass: string;
  readonly reclaimable: number;
  readonly onDemand: number;
}

/**
 * The settings of all decisions of one entry instance; a `Deployment` satisfies it.
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

/** A policy without entries: every service and machine class gets the defaults. */
export const EMPTY_POLICY: Policy = { services: {}, accounts: {}, machineClasses: {}, offers: [] };

/**
 * Used for a service that the policy doesn't contain: the latency for which the system is designed,
 * 1.6 s to the first token and 44 ms between tokens for 95 in 100.
 */
const DEFAULT_TARGET: ServicePolicy["target"] = {
  firstToken: 1_600,
  betweenTokens: 44,
  deadline: 300_000,
};

/** Used for a machine class that the policy doesn't contain: a small present-day accelerator. */
const DEFAULT_MACHINE: MachinePolicy = {
  tokensPerSecond: 900,
  prefillPerSecond: 8_000,
  cacheTokens: 100_000,
};

/** Returns the latency targets of a service. */
export function targetOf(policy: Policy, service: string): ServicePolicy["target"] {
  return policy.services[service]?.target ?? DEFAULT_TARGET;
}

/** Returns the performance of a machine class. */
export function machineOf(policy: Policy, machineClass: string): MachinePolicy {
  return policy.machineClasses[machineClass] ?? DEFAULT_MACHINE;
}

/** Returns the mean of all machine classes, for work without a chosen machine. */
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
