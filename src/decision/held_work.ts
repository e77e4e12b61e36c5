/** What each account has accepted and not ended at this instance, over all services. */
import type { Job } from "./job.ts";
import type { ServiceLedger } from "./service_ledger.ts";

/** The requests and tokens of work that each account holds. */
export interface HeldWork {
  jobs(account: string): number;
  work(account: string): number;
  /** Jobs that wait, over all services. */
  waitingJobs(ledgers: ReadonlyMap<string, ServiceLedger>): number;
  add(job: Job): void;
  /** Takes a job off; one that isn't held changes nothing. */
  remove(job: Job): void;
}

interface AccountHeld {
  jobs: number;
  work: number;
}

/** Makes an empty account of what is held. */
export function createHeldWork(): HeldWork {
  const accounts = new Map<string, AccountHeld>();
  const held = new Map<string, Job>();
  return {
    jobs: (account) => accounts.get(account)?.jobs ?? 0,
    work: (account) => accounts.get(account)?.work ?? 0,
    waitingJobs: (ledgers) => {
      let waiting = 0;
      for (const { lanes } of ledgers.values()) {
        for (const book of Object.values(lanes)) waiting += book.waitingJobs;
      }
      return waiting;
    },
    add: (job) => {
      if (held.has(job.id)) return;
      held.set(job.id, job);
      const account = accounts.get(job.account) ?? { jobs: 0, work: 0 };
      accounts.set(job.account, account);
      account.jobs++;
      account.work += job.estimate.work;
    },
    remove: ({ id }) => {
      const job = held.get(id);
      if (job === undefined) return;
      held.delete(id);
      const account = accounts.get(job.account);
      if (account === undefined) return;
      account.jobs--;
      account.work -= job.estimate.work;
      if (account.jobs === 0) accounts.delete(job.account);
    },
  };
}
