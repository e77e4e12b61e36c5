import { sleep, withTimeout } from "../interface/index.ts";
import type { Clock, Cloud, Random } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import { rendezvousOrder } from "../version/index.ts";
import { instanceNameOf } from "./member_table.ts";
import type { Membership } from "./membership.ts";

/** Interval at which the cloud is polled for reclaim notices, in milliseconds, and the timeout of one poll. */
const POLL_INTERVAL = 500;
const POLL_TIMEOUT = 1_000;
/** Number of instances per availability zone that poll. All others receive the notices from their peers. */
const POLLERS_PER_ZONE = 1;

/** A task that reads the cloud's reclaim notices and marks the affected instances and workers as leaving. */
export interface NoticeTask {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createNoticeTask}. */
export interface NoticeTaskParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly cloud: Cloud;
  readonly members: Membership;
  readonly workers: WorkerView;
  readonly count: (name: string) => void;
}

/**
 * Creates the task. One instance per zone polls, so that the number of calls doesn't grow with the fleet and notices
 * are still read after the loss of any zone.
 */
export function createNoticeTask(parts: NoticeTaskParts): NoticeTask {
  const { clock, random, cloud, members, workers, count } = parts;
  const handled = new Set<string>();
  let closed = false;
  const isClosed = (): boolean => closed;

  const isPoller = (): boolean => {
    const { self } = members;
    const zone = members.present().filter((member) => member.zone === self.zone);
    const order = rendezvousOrder(
      "notices",
      zone.map(({ id }) => id),
    );
    return order.slice(0, POLLERS_PER_ZONE).includes(self.id);
  };
  const markLeaving = (instance: string): void => {
    if (handled.has(instance)) return;
    handled.add(instance);
    count("notice.heard");
    const isMember = members.present().some((member) => instanceNameOf(member) === instance);
    if (isMember) members.markMemberLeaving(instance);
    else members.markWorkerLeaving(instance, workers.find(instance)?.zone ?? "");
  };
  const read = async (): Promise<void> => {
    try {
      const limit = POLL_TIMEOUT;
      const notices = await withTimeout(clock, cloud.notices(), { limit, step: "read notices" });
      const current = new Set(notices.map(({ instance }) => instance));
      // A name without a current notice may receive another one later, under a new incarnation.
      for (const name of handled) if (!current.has(name)) handled.delete(name);
      for (const name of current) markLeaving(name);
    } catch {
      count("notice.unavailable");
    }
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (isPoller()) await read();
      await sleep(clock, POLL_INTERVAL * (0.8 + 0.4 * random.next()));
    }
  };
  return {
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}
