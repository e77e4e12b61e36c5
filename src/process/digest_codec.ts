import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  AccountNewsSchema,
  DigestSchema,
  FeedDeltaSchema,
  IntroductionSchema,
  NewsSchema,
  PartReportSchema,
  RolloutPlanSchema,
  RosterEntrySchema,
  Scope,
  WorkerLimitSchema,
} from "../gen/digest_pb.ts";
import type * as wire from "../gen/digest_pb.ts";
import { countsByWindow, PartOutcome, RolloutPhase } from "../decision/index.ts";
import type { LimitReport, PartReport, WindowCounts } from "../decision/index.ts";
import type { FeedDelta, FeedObject } from "../interface/index.ts";
import { fingerprintDigits, partName } from "../request/index.ts";
import { admissionKey, parseAdmissionKey } from "./admission_period.ts";
import type { AdmissionKey } from "./admission_period.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate, Introduction, Roster, WorkerCounts } from "./digest.ts";
import type { RolloutPlan } from "./rollout_plan.ts";
import { unsigned32, unsigned64 } from "./wire_number.ts";

/**
 * Number of unread prompt tokens per unit on the wire. Worker ranking ignores differences below
 * this, which a worker reads in about a millisecond.
 */
const UNREAD_TOKENS_PER_UNIT = 64;

/** Maximum uptime on the wire in milliseconds: one hour. Longer uptimes are not distinguished. */
const MAX_UPTIME = 3_600_000;

const SCOPES: Readonly<Record<UpdateScope, Scope>> = {
  [UpdateScope.None]: Scope.UNSPECIFIED,
  [UpdateScope.Own]: Scope.OWN,
  [UpdateScope.Group]: Scope.GROUP,
  [UpdateScope.Fleet]: Scope.FLEET,
};

/** Encodes a digest as the payload of a datagram. */
export function encodeDigest(digest: Digest): Uint8Array {
  const { session, sequence, ready, reachesStore, acknowledged, introduction, update } = digest;
  const message = create(DigestSchema, {
    session,
    sequence,
    ready,
    reachesStore,
    leaseVersion: unsigned64(digest.leaseVersion),
    heardSession: acknowledged?.session ?? 0,
    heardSequence: acknowledged?.sequence ?? 0,
    ...(introduction === undefined ? {} : { introduction }),
    ...(update === undefined ? {} : { news: encodeUpdate(update) }),
    known: [...digest.knownAddresses],
    scope: SCOPES[digest.scope],
    wantsNews: digest.wantsUpdate,
    countsReceiver: digest.includesReceiver,
    storeAnsweredAt: unsigned64(digest.storeAnsweredAt),
    current: digest.isCurrent,
    versions: [...digest.versions].map(([kind, version]) => ({
      kind,
      version: unsigned64(version),
    })),
    ...(digest.roster === undefined ? {} : { roster: encodeRoster(digest.roster) }),
    feeds: digest.feedDeltas.map(encodeFeed),
    plans: digest.plans.map(encodePlan),
    limits: digest.limits.map(encodeLimit),
    tries: digest.tries.map(encodeLimit),
    partReports: digest.partReports.map(encodePart),
  });
  return toBinary(DigestSchema, message);
}

function encodeRoster({
  isSnapshot,
  live,
  removedSessions,
}: Roster): Omit<wire.Roster, "$typeName"> {
  return {
    whole: isSnapshot,
    there: live.map(({ session, ready, reachesStore, ...rest }) => {
      const { name, zone, callers, peers, capacity } = rest;
      const introduction = create(IntroductionSchema, {
        name,
        zone,
        callers,
        peers,
        capacity: unsigned32(capacity),
      });
      return create(RosterEntrySchema, { session, ready, reachesStore, introduction });
    }),
    gone: [...removedSessions],
  };
}

function encodePlan({ phase, ...plan }: RolloutPlan): wire.RolloutPlan {
  return create(RolloutPlanSchema, {
    service: plan.service,
    to: plan.to,
    fence: unsigned64(plan.fence),
    switching: phase === RolloutPhase.Switch,
    age: unsigned32(plan.age),
    startedAt: unsigned64(plan.startedAt),
  });
}

function decodePlan({
  service,
  to,
  fence,
  switching,
  age,
  startedAt,
}: wire.RolloutPlan): RolloutPlan {
  const phase = switching ? RolloutPhase.Switch : RolloutPhase.Trial;
  return { service, to, fence: Number(fence), phase, age, startedAt: Number(startedAt) };
}

function encodeLimit({ worker, perSecond, at }: LimitReport): wire.WorkerLimit {
  return create(WorkerLimitSchema, {
    worker,
    ...(perSecond === undefined ? {} : { perSecond }),
    at: unsigned64(at),
  });
}

function decodeLimit({ worker, perSecond, at }: wire.WorkerLimit): LimitReport {
  return { worker, perSecond, at: Number(at) };
}

function encodePart({ part, outcome, at }: PartReport): wire.PartReport {
  return create(PartReportSchema, {
    part: BigInt(`0x${fingerprintDigits(part)}`),
    answered: outcome === PartOutcome.Answer,
    at: unsigned64(at),
  });
}

function decodePart({ part, answered, at }: wire.PartReport): PartReport {
  return {
    part: partName(part),
    outcome: answered ? PartOutcome.Answer : PartOutcome.Crash,
    at: Number(at),
  };
}

function encodeFeed({ kind, from, to, changes, age }: FeedDelta): wire.FeedDelta {
  return create(FeedDeltaSchema, {
    kind,
    from: unsigned64(from),
    to: unsigned64(to),
    age: unsigned32(age),
    changes: changes.map(({ object, removed }) => ({
      name: object.name,
      version: unsigned64(object.version),
      removed,
      ...(removed ? { value: "", status: "" } : objectTexts(object)),
    })),
  });
}

/**
 * Returns an object's value and status as JSON. The value is `null` if the object has none, since
 * JSON cannot express `undefined`; the status is then empty.
 */
export function objectTexts({ value, status }: FeedObject): { value: string; status: string } {
  return {
    value: JSON.stringify(value ?? null),
    status: status === undefined ? "" : JSON.stringify(status),
  };
}

function encodeUpdate(update: InstanceUpdate): wire.News {
  const counts = [...update.workerCounts.values()];
  return create(NewsSchema, {
    whole: update.isSnapshot,
    age: unsigned32(Math.min(MAX_UPTIME, update.uptime)),
    time: unsigned64(update.time),
    accounts: accountsOf(update),
    period: unsigned64(lastPeriod(update)),
    window: unsigned64(lastWindow(update)),
    workers: [...update.workerCounts.keys()],
    running: counts.map(({ running }) => unsigned32(running)),
    unread: counts.map(({ unreadTokens }) =>
      unsigned32(Math.ceil(unreadTokens / UNREAD_TOKENS_PER_UNIT)),
    ),
    runs: counts.map(({ runs }) => wrapped(runs)),
    failures: counts.map(({ failures }) => wrapped(failures)),
    leaving: [...update.leavingWorkers],
  });
}

/** Returns the lowest 32 bits of a total. A sum over many instances may exceed them, and can't be encoded then. */
function wrapped(total: number): number {
  return total % 2 ** 32;
}

/** Groups all counts by account, because the account names take most of the space. */
function accountsOf({ admitted, usage }: InstanceUpdate): wire.AccountNews[] {
  const last = lastWindow({ usage });
  const admittedByAccount = admittedLists(admitted);
  const names = new Set([
    ...admittedByAccount.keys(),
    ...usage.flatMap(({ counts }) => Object.keys(counts)),
  ]);
  return [...names].map((account) => {
    const begun: number[] = [];
    for (const { window, counts } of usage) {
      // An account may have the name of an inherited property such as `constructor`.
      const count = Object.hasOwn(counts, account) ? counts[account] : undefined;
      if (count === undefined) continue;
      while (begun.length <= last - window) begun.push(0);
      begun[last - window] = unsigned32(count);
    }
    return create(AccountNewsSchema, {
      account,
      admitted: admittedByAccount.get(account) ?? [],
      begun,
    });
  });
}

/** Lists each account's admitted amounts, from the latest period back. */
function admittedLists(admitted: InstanceUpdate["admitted"]): Map<string, bigint[]> {
  const last = lastPeriod({ admitted });
  const lists = new Map<string, bigint[]>();
  for (const [key, amount] of admitted) {
    const { period, account } = parseAdmissionKey(key);
    const list = lists.get(account) ?? [];
    lists.set(account, list);
    while (list.length <= last - period) list.push(0n);
    list[last - period] = unsigned64(amount);
  }
  return lists;
}

function lastPeriod({ admitted }: Pick<InstanceUpdate, "admitted">): number {
  return Math.max(0, ...[...admitted.keys()].map((key) => parseAdmissionKey(key).period));
}

function lastWindow({ usage }: Pick<InstanceUpdate, "usage">): number {
  return Math.max(0, ...usage.map(({ window }) => window));
}

/** Decodes the payload of a datagram. Returns undefined if it is not a valid digest. */
export function decodeDigest(bytes: Uint8Array): Digest | undefined {
  try {
    return digestOf(fromBinary(DigestSchema, bytes));
  } catch {
    // The bytes are not a valid message. The caller counts the error.
    return undefined;
  }
}

function digestOf(message: wire.Digest): Digest | undefined {
  const { session, sequence, introduction, news, heardSession } = message;
  if (session === 0 || (news !== undefined && !hasEqualLengths(news))) return undefined;
  return {
    session,
    sequence,
    ready: message.ready,
    reachesStore: message.reachesStore,
    leaseVersion: Number(message.leaseVersion),
    acknowledged:
      heardSession === 0 ? undefined : { session: heardSession, sequence: message.heardSequence },
    introduction: introduction === undefined ? undefined : decodeIntroduction(introduction),
    scope: scopeOf(message.scope),
    update: news === undefined ? undefined : decodeUpdate(news),
    wantsUpdate: message.wantsNews,
    includesReceiver: message.countsReceiver,
    storeAnsweredAt: Number(message.storeAnsweredAt),
    isCurrent: message.current,
    versions: new Map(message.versions.map(({ kind, version }) => [kind, Number(version)])),
    roster: message.roster === undefined ? undefined : decodeRoster(message.roster),
    feedDeltas: message.feeds.map(decodeFeed),
    plans: message.plans.map(decodePlan),
    limits: message.limits.map(decodeLimit),
    tries: message.tries.map(decodeLimit),
    partReports: message.partReports.map(decodePart),
    knownAddresses: message.known,
  };
}

function scopeOf(scope: Scope): UpdateScope {
  const found = Object.values(UpdateScope).find((one) => SCOPES[one] === scope);
  return found ?? UpdateScope.None;
}

function decodeIntroduction(introduction: wire.Introduction): Introduction {
  const { name, zone, callers, peers, capacity } = introduction;
  return { name, zone, callers, peers, capacity };
}

function decodeRoster({ whole, there, gone: removedSessions }: wire.Roster): Roster {
  return {
    isSnapshot: whole,
    live: there.flatMap(({ session, ready, reachesStore, introduction }) =>
      introduction === undefined
        ? []
        : [{ session, ready, reachesStore, ...decodeIntroduction(introduction) }],
    ),
    removedSessions,
  };
}

/**
 * @throws {SyntaxError} If a value or status is not valid JSON.
 */
function decodeFeed({ kind, from, to, changes, age }: wire.FeedDelta): FeedDelta {
  return {
    kind,
    from: Number(from),
    to: Number(to),
    age,
    changes: changes.map(({ name, version, removed, value, status }) => ({
      object: {
        name,
        version: Number(version),
        value: removed ? undefined : (JSON.parse(value) as unknown),
        ...(status === "" ? {} : { status: JSON.parse(status) as unknown }),
      },
      removed,
    })),
  };
}

function hasEqualLengths({ workers, running, unread, runs, failures }: wire.News): boolean {
  return [running, unread, runs, failures].every(({ length }) => length === workers.length);
}

function decodeUpdate(message: wire.News): InstanceUpdate {
  const countsAt = (index: number): WorkerCounts => ({
    running: message.running[index] ?? 0,
    unreadTokens: (message.unread[index] ?? 0) * UNREAD_TOKENS_PER_UNIT,
    runs: message.runs[index] ?? 0,
    failures: message.failures[index] ?? 0,
  });
  return {
    isSnapshot: message.whole,
    uptime: message.age,
    time: Number(message.time),
    admitted: decodeAdmitted(message),
    usage: decodeUsage(message),
    workerCounts: new Map(message.workers.map((worker, index) => [worker, countsAt(index)])),
    leavingWorkers: message.leaving,
  };
}

function decodeAdmitted({ accounts, period: last }: wire.News): InstanceUpdate["admitted"] {
  const amounts = accounts.flatMap(({ account, admitted }) =>
    admitted.map((amount, offset): [AdmissionKey, number] => [
      admissionKey({ period: Number(last) - offset, account }),
      Number(amount),
    ]),
  );
  return new Map(amounts.filter(([, amount]) => amount > 0));
}

function decodeUsage({ accounts, window: last }: wire.News): WindowCounts[] {
  const counts = accounts.flatMap(({ account, begun }) =>
    begun.map((count, offset) => ({ window: Number(last) - offset, account, count })),
  );
  return countsByWindow(counts.filter(({ count }) => count > 0));
}
