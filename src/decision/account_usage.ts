/**
 * Counts the requests and the tokens of work that each account has accepted and not ended at this
 * instance, over all services.
 *
 * @module
 */
import type { Job } from "./job.ts";
import type { ServiceState } from "./service_state.ts";

/** The accepted and not ended requests of each account. */
export interface AccountUsage {
  /** Returns the account's number of requests. */
  jobs(account: string): number;
  /** Returns the account's tokens of work, as estimated at admission. */
  work(account: string): number;
  /** Returns the number of waiting jobs over all services. */
  waitingJobs(services: ReadonlyMap<string, ServiceState>): number;
  /** Counts a job; a job that is already counted changes nothing. */
  add(job: Job): void;
  /** Removes a job; an unknown job changes nothing. */
  remove(job: Job): void;
}

interface AccountTotals {
  jobs: number;
  work: number;
}

/** Creates the usage with no requests. */
export function createAccountUsage(): AccountUsage {
  const accounts = new Map<string, AccountTotals>();
  const jobs = new Map<string, Job>();
  return {
    jobs: (account) => accounts.get(account)?.jobs ?? 0,
    work: (account) => accounts.get(account)?.work ?? 0,
    waitingJobs: (services) => {
      let waiting = 0;
      for (const { lanes } of services.values()) {
        for (const lane of Object.values(lanes)) waiting += lane.waitingJobs;
      }
      return waiting;
    },
    add: (job) => {
      if (jobs.has(job.id)) return;
      jobs.set(job.id, job);
      const account = accounts.get(job.account) ?? { jobs: 0, work: 0 };
      accounts.set(job.account, account);
      account.jobs++;
      account.work += job.estimate.work;
    },
    remove: ({ id }) => {
      const job = jobs.get(id);
      if (job === undefined) return;
      jobs.delete(id);
      const account = accounts.get(job.account);
      if (account === undefined) return;
      account.jobs--;
      account.work -= job.estimate.work;
      if (account.jobs === 0) accounts.delete(job.account);
    },
  };
}
