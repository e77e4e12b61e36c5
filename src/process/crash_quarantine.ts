import {
  createCrashEvidence,
  createPartEvidence,
  MIN_PROVING_CRASHES,
  MIN_PROVING_MOMENTS,
} from "../decision/index.ts";
import type { PartReport, RunCounts } from "../decision/index.ts";
import { isPartName } from "../request/index.ts";
import type { Quarantine } from "../request/index.ts";
import { createRequestQuarantine } from "./request_quarantine.ts";
import type { RequestQuarantine, RequestQuarantineParts } from "./request_quarantine.ts";

/** The quarantines of requests and of parts of prompts, which share their records in the store. */
export interface CrashQuarantine extends Omit<RequestQuarantine, keyof Quarantine> {
  readonly requests: Quarantine;
  readonly parts: Quarantine;
  /** Returns recent observations of parts of prompts, to be sent to the other instances. */
  partReports(): readonly PartReport[];
  /** Receives the observations of another instance. */
  receivePartReports(reports: readonly PartReport[]): void;
}

/** Dependencies of {@linkcode createCrashQuarantine}. */
export interface CrashQuarantineParts extends Omit<RequestQuarantineParts, "subject"> {
  /** Returns the total counts of all other instances for a key. */
  readonly peerCounts: (key: number) => RunCounts | undefined;
}

/** Creates the quarantines without records. */
export function createCrashQuarantine(dependencies: CrashQuarantineParts): CrashQuarantine {
  const partEvidence = createPartEvidence(dependencies.time);
  const requests = createRequestQuarantine({
    ...dependencies,
    subject: {
      covers: (name) => !isPartName(name),
      evidence: createCrashEvidence(dependencies.peerCounts),
      provingCrashes: MIN_PROVING_CRASHES,
    },
  });
  const parts = createRequestQuarantine({
    ...dependencies,
    subject: {
      covers: isPartName,
      evidence: partEvidence,
      provingCrashes: MIN_PROVING_MOMENTS,
    },
  });
  const both = [requests, parts];
  return {
    requests,
    parts,
    partReports: () => partEvidence.recentReports(),
    receivePartReports: (reports) => {
      for (const report of reports) partEvidence.receiveReport(report);
    },
    recordCrash: (suspects) => {
      for (const quarantine of both) quarantine.recordCrash(suspects);
    },
    setObjects: (objects, options) => {
      const known = [...objects];
      for (const quarantine of both) quarantine.setObjects(known, options);
    },
    counts: () => requests.counts(),
    get writtenVersion() {
      return Math.max(requests.writtenVersion, parts.writtenVersion);
    },
    list: () => both.flatMap((quarantine) => quarantine.list()),
    start: () => {
      for (const quarantine of both) quarantine.start();
    },
    close: () => {
      for (const quarantine of both) quarantine.close();
    },
  };
}
