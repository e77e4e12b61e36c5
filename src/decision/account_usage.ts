/** What each account has accepted and not ended at this instance, over all services. */
import type { Job } from "./job.ts";
import type { ServiceState } from "./service_state.ts";

/** The requests and tokens of work that each account holds. */
export interface AccountUsage {
  jobs(account: string): number;
  work(account: string): number;
  /** Jobs that wait, over all services. */
  waitingJobs(services: ReadonlyMap<string, ServiceState>): number;
  add(job: Job): void;
  /** Takes a job off; one that isn't jobs changes nothing. */
  remove(job: Job): void;
}

interface AccountTotals {
  jobs: number;
  work: number;
}

/** Makes an empty account of what is jobs. */
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
