/**
 * The state of services whose capacity is divided among accounts.
 *
 * @module
 */
import { hashText } from "../version/index.ts";
import type { CountKey } from "./shared_counts.ts";

/** An account as configured. */
export interface ShareAccount {
  readonly name: string;
  /** Above 0; 1 if undefined. */
  readonly weight?: number | undefined;
  /** Fraction of each service's capacity that is allocated to the account first; 0 if undefined. */
  readonly reservedShare?: number | undefined;
}

/** A service as configured. */
export interface ShareService {
  readonly name: string;
  /** Shortest latency target of the routes that lead to it, in milliseconds. */
  readonly shortestTarget: number;
}

/** An account at a service. */
export interface ShareMember {
  readonly account: string;
  readonly key: CountKey;
  readonly weight: number;
  readonly reservedShare: number;
  /** Key of the work that returning callers ask for. */
  readonly returnKey: CountKey;
  /** Recent worker time that the account may have and has, in milliseconds, as of the last division. */
  share: number;
  use: number;
  /** Recent worker time that new requests and returning ones asked for, in milliseconds, as of the last division. */
  newDemand: number;
  returnDemand: number;
  /** Recent worker time that this instance's callers asked for, in milliseconds. */
  ownDemand: number;
  /** Clock time at which the account's share has room for the next request that is refused. */
  nextRoomAt: number;
  /** Number of requests that this instance has refused because of the share. */
  refused: number;
}

/** A service whose capacity is divided. Times are in milliseconds. */
export interface DividedService {
  readonly shortestTarget: number;
  readonly pressureKey: CountKey;
  readonly members: ReadonlyMap<string, ShareMember>;
  /** Milliseconds of worker time that the service can begin in the time that is remembered. */
  capacity: number;
  /** Milliseconds of worker time of all recent requests that were begun, and of all that callers asked for. */
  use: number;
  demand: number;
  /** Sum of the shares of the accounts that ask for more. */
  contested: number;
  /** The recent expected wait in milliseconds, and the clock time at which it was observed. */
  queue: number;
  observedAt: number;
  isUnderPressure: boolean;
  /** Clock time of the last division. */
  dividedAt: number;
}

/** Creates the state of a service; what was known of it and its accounts is kept. */
export function createDividedService(
  { name, shortestTarget }: ShareService,
  accounts: readonly ShareAccount[],
  previous: DividedService | undefined,
): DividedService {
  // The length separates the names, so that no two pairs have the same text.
  const keyOf = (kind: string, account: string): CountKey =>
    hashText(`${kind}:${name.length}:${name}:${account}`);
  const members = [{ name: "" }, ...accounts].map(
    ({ name: account, weight = 1, reservedShare = 0 }: ShareAccount): [string, ShareMember] => {
      const known = previous?.members.get(account);
      return [
        account,
        {
          account,
          weight,
          reservedShare,
          key: known?.key ?? keyOf("share", account),
          returnKey: known?.returnKey ?? keyOf("share-return", account),
          share: known?.share ?? 0,
          use: known?.use ?? 0,
          newDemand: known?.newDemand ?? 0,
          returnDemand: known?.returnDemand ?? 0,
          ownDemand: known?.ownDemand ?? 0,
          nextRoomAt: known?.nextRoomAt ?? 0,
          refused: known?.refused ?? 0,
        },
      ];
    },
  );
  return {
    shortestTarget,
    pressureKey: previous?.pressureKey ?? hashText(`share-pressure:${name}`),
    members: new Map(members),
    capacity: previous?.capacity ?? 0,
    use: previous?.use ?? 0,
    demand: previous?.demand ?? 0,
    contested: previous?.contested ?? 0,
    queue: previous?.queue ?? 0,
    observedAt: previous?.observedAt ?? -Infinity,
    isUnderPressure: previous?.isUnderPressure ?? false,
    dividedAt: previous?.dividedAt ?? -Infinity,
  };
}

/** Returns the keys under which amounts of the services are counted. */
export function keysOf(services: ReadonlyMap<string, DividedService>): ReadonlySet<CountKey> {
  return new Set(
    [...services.values()].flatMap(({ pressureKey, members }) => [
      pressureKey,
      ...[...members.values()].flatMap(({ key, returnKey }) => [key, returnKey]),
    ]),
  );
}

/** Returns the recent work that the account's callers asked for, in milliseconds of worker time. */
export function demandOf({ newDemand, returnDemand }: ShareMember): number {
  return newDemand + returnDemand;
}

/** Whether an account asks for more than its share. */
export function asksForMore(member: ShareMember): boolean {
  return demandOf(member) > member.share;
}
