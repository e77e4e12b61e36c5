import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  AccountNewsSchema,
  DigestSchema,
  FeedDeltaSchema,
  IntroductionSchema,
  NewsSchema,
  RolloutPlanSchema,
  RosterEntrySchema,
  Scope,
  WorkerLimitSchema,
} from "../gen/digest_pb.ts";
import type * as wire from "../gen/digest_pb.ts";
import { countsByWindow, RolloutPhase } from "../decision/index.ts";
import type { LimitStatement, WindowCounts } from "../decision/index.ts";
import type { FeedDelta, FeedObject } from "../interface/index.ts";
import { NewsScope } from "./digest.ts";
import type { Digest, InstanceNews, Introduction, Roster, WorkerUse } from "./digest.ts";
import type { RolloutPlan } from "./rollout_plan.ts";

/**
 * Number of unread prompt tokens per unit on the wire. Worker ranking ignores differences below
 * this, which a worker reads in about a millisecond.
 */
const UNREAD_UNIT = 64;

/** Maximum uptime on the wire in milliseconds: one hour. Longer uptimes are not distinguished. */
const GREATEST_AGE = 3_600_000;

const SCOPES: Readonly<Record<NewsScope, Scope>> = {
  [NewsScope.None]: Scope.UNSPECIFIED,
  [NewsScope.Own]: Scope.OWN,
  [NewsScope.Group]: Scope.GROUP,
  [NewsScope.Fleet]: Scope.FLEET,
};

/** Encodes a digest as the payload of a datagram. */
export function encodeDigest(digest: Digest): Uint8Array {
  const { session, sequence, ready, reachesStore, heard, introduction, news } = digest;
  const message = create(DigestSchema, {
    session,
    sequence,
    ready,
    reachesStore,
    leaseVersion: BigInt(digest.leaseVersion),
    heardSession: heard?.session ?? 0,
    heardSequence: heard?.sequence ?? 0,
    ...(introduction === undefined ? {} : { introduction }),
    ...(news === undefined ? {} : { news: encodeNews(news) }),
    known: [...digest.known],
    scope: SCOPES[digest.scope],
    wantsNews: digest.wantsNews,
    countsReceiver: digest.countsReceiver,
    storeReturned: digest.storeReturned,
    current: digest.isCurrent,
    versions: [...digest.versions].map(([kind, version]) => ({ kind, version: BigInt(version) })),
    ...(digest.roster === undefined ? {} : { roster: encodeRoster(digest.roster) }),
    feeds: digest.feeds.map(encodeFeed),
    plans: digest.plans.map(encodePlan),
    limits: digest.limits.map(encodeLimit),
  });
  return toBinary(DigestSchema, message);
}

function encodeRoster({ isWhole, there, gone }: Roster): Omit<wire.Roster, "$typeName"> {
  return {
    whole: isWhole,
    there: there.map(({ session, ready, reachesStore, ...rest }) => {
      const { name, zone, callers, peers, capacity } = rest;
      const introduction = create(IntroductionSchema, { name, zone, callers, peers, capacity });
      return create(RosterEntrySchema, { session, ready, reachesStore, introduction });
    }),
    gone: [...gone],
  };
}

function encodePlan({ phase, ...plan }: RolloutPlan): wire.RolloutPlan {
  return create(RolloutPlanSchema, {
    service: plan.service,
    to: plan.to,
    fence: BigInt(plan.fence),
    switching: phase === RolloutPhase.Switch,
    age: Math.max(0, Math.round(plan.age)),
    startedAt: BigInt(Math.max(0, Math.round(plan.startedAt))),
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

function encodeLimit({ worker, perSecond, at }: LimitStatement): wire.WorkerLimit {
  return create(WorkerLimitSchema, {
    worker,
    ...(perSecond === undefined ? {} : { perSecond }),
    at: BigInt(Math.max(0, Math.round(at))),
  });
}

function decodeLimit({ worker, perSecond, at }: wire.WorkerLimit): LimitStatement {
  return { worker, perSecond, at: Number(at) };
}

function encodeFeed({ kind, from, to, changes, age }: FeedDelta): wire.FeedDelta {
  return create(FeedDeltaSchema, {
    kind,
    from: BigInt(from),
    to: BigInt(to),
    age: Math.max(0, Math.round(age)),
    changes: changes.map(({ object, removed }) => ({
      name: object.name,
      version: BigInt(object.version),
      removed,
      value: removed ? "" : objectText(object),
      status: object.status === undefined ? "" : JSON.stringify(object.status),
    })),
  });
}

/**
 * Returns an object's value as JSON; `null` if it has no value, since JSON cannot express
 * `undefined`.
 */
export function objectText({ value }: FeedObject): string {
  return JSON.stringify(value ?? null);
}

function encodeNews(news: InstanceNews): wire.News {
  const use = [...news.use.values()];
  return create(NewsSchema, {
    whole: news.isWhole,
    age: Math.min(GREATEST_AGE, Math.round(news.age)),
    time: BigInt(Math.round(news.time)),
    accounts: accountsOf(news),
    window: BigInt(lastWindow(news)),
    workers: [...news.use.keys()],
    running: use.map(({ running }) => running),
    unread: use.map(({ unreadTokens }) => Math.ceil(unreadTokens / UNREAD_UNIT)),
    runs: use.map(({ runs }) => runs),
    failures: use.map(({ failures }) => failures),
    leaving: [...news.leaving],
  });
}

/** Groups all counts by account, because the account names take most of the space. */
function accountsOf({ admitted, usage }: InstanceNews): wire.AccountNews[] {
  const last = lastWindow({ usage });
  const names = new Set([
    ...admitted.keys(),
    ...usage.flatMap(({ counts }) => Object.keys(counts)),
  ]);
  return [...names].map((account) => {
    const begun: number[] = [];
    for (const { window, counts } of usage) {
      // An account may have the name of an inherited property such as `constructor`.
      const count = Object.hasOwn(counts, account) ? counts[account] : undefined;
      if (count === undefined) continue;
      while (begun.length <= last - window) begun.push(0);
      begun[last - window] = count;
    }
    const total = BigInt(Math.max(0, Math.round(admitted.get(account) ?? 0)));
    return create(AccountNewsSchema, { account, admitted: total, begun });
  });
}

function lastWindow({ usage }: Pick<InstanceNews, "usage">): number {
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
  if (session === 0 || (news !== undefined && !isEvenlyLong(news))) return undefined;
  return {
    session,
    sequence,
    ready: message.ready,
    reachesStore: message.reachesStore,
    leaseVersion: Number(message.leaseVersion),
    heard:
      heardSession === 0 ? undefined : { session: heardSession, sequence: message.heardSequence },
    introduction: introduction === undefined ? undefined : decodeIntroduction(introduction),
    scope: scopeOf(message.scope),
    news: news === undefined ? undefined : decodeNews(news),
    wantsNews: message.wantsNews,
    countsReceiver: message.countsReceiver,
    storeReturned: message.storeReturned,
    isCurrent: message.current,
    versions: new Map(message.versions.map(({ kind, version }) => [kind, Number(version)])),
    roster: message.roster === undefined ? undefined : decodeRoster(message.roster),
    feeds: message.feeds.map(decodeFeed),
    plans: message.plans.map(decodePlan),
    limits: message.limits.map(decodeLimit),
    known: message.known,
  };
}

function scopeOf(scope: Scope): NewsScope {
  const found = Object.values(NewsScope).find((one) => SCOPES[one] === scope);
  return found ?? NewsScope.None;
}

function decodeIntroduction(introduction: wire.Introduction): Introduction {
  const { name, zone, callers, peers, capacity } = introduction;
  return { name, zone, callers, peers, capacity };
}

function decodeRoster({ whole, there, gone }: wire.Roster): Roster {
  return {
    isWhole: whole,
    there: there.flatMap(({ session, ready, reachesStore, introduction }) =>
      introduction === undefined
        ? []
        : [{ session, ready, reachesStore, ...decodeIntroduction(introduction) }],
    ),
    gone,
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

function isEvenlyLong({ workers, running, unread, runs, failures }: wire.News): boolean {
  return [running, unread, runs, failures].every(({ length }) => length === workers.length);
}

function decodeNews(news: wire.News): InstanceNews {
  const use = (index: number): WorkerUse => ({
    running: news.running[index] ?? 0,
    unreadTokens: (news.unread[index] ?? 0) * UNREAD_UNIT,
    runs: news.runs[index] ?? 0,
    failures: news.failures[index] ?? 0,
  });
  return {
    isWhole: news.whole,
    age: news.age,
    time: Number(news.time),
    admitted: new Map(
      news.accounts
        .filter(({ admitted }) => admitted > 0)
        .map(({ account, admitted }) => [account, Number(admitted)]),
    ),
    usage: decodeUsage(news),
    use: new Map(news.workers.map((worker, index) => [worker, use(index)])),
    leaving: news.leaving,
  };
}

function decodeUsage({ accounts, window: last }: wire.News): WindowCounts[] {
  const counts = accounts.flatMap(({ account, begun }) =>
    begun.map((count, back) => ({ window: Number(last) - back, account, count })),
  );
  return countsByWindow(counts.filter(({ count }) => count > 0));
}
