import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { AccountNewsSchema, DigestSchema, NewsSchema } from "../gen/digest_pb.ts";
import type * as wire from "../gen/digest_pb.ts";
import { countsByWindow } from "../decision/index.ts";
import type { WindowCounts } from "../decision/index.ts";
import type { Digest, InstanceNews, WorkerUse } from "./digest.ts";

/** Prompt tokens that are one unit on the wire: the ranking doesn't tell apart what is read in a millisecond. */
const UNREAD_UNIT = 64;

/** The longest age that is told apart, in milliseconds: an hour. */
const GREATEST_AGE = 3_600_000;

/** A digest as a datagram. */
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
  });
  return toBinary(DigestSchema, message);
}

function encodeNews(news: InstanceNews): wire.News {
  const use = [...news.use.values()];
  return create(NewsSchema, {
    whole: news.isWhole,
    age: Math.min(GREATEST_AGE, Math.round(news.age)),
    time: BigInt(Math.round(news.time)),
    versions: [...news.versions].map(([kind, version]) => ({ kind, version: BigInt(version) })),
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

/** All that is said of each account, together: the names are most of it. */
function accountsOf({ admitted, usage }: InstanceNews): wire.AccountNews[] {
  const last = lastWindow({ usage });
  const names = new Set([
    ...admitted.keys(),
    ...usage.flatMap(({ counts }) => Object.keys(counts)),
  ]);
  return [...names].map((account) => {
    const begun: number[] = [];
    for (const { window, counts } of usage) {
      // An account may be named as something that every object has.
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

/** The digest in a datagram; undefined where the bytes are none. */
export function decodeDigest(bytes: Uint8Array): Digest | undefined {
  try {
    return digestOf(fromBinary(DigestSchema, bytes));
  } catch {
    // The bytes are no message of this kind: the caller counts them.
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
    introduction:
      introduction === undefined
        ? undefined
        : {
            name: introduction.name,
            zone: introduction.zone,
            callers: introduction.callers,
            peers: introduction.peers,
          },
    news: news === undefined ? undefined : decodeNews(news),
    known: message.known,
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
    versions: new Map(news.versions.map(({ kind, version }) => [kind, Number(version)])),
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
