import type { OperatorService, RequestMessage, StatusMessage } from "../connection/index.ts";
import type { ServicesMessage } from "../connection/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, RequestRecord, ObjectVersion } from "../interface/index.ts";
import type { RequestService } from "../request/index.ts";
import { assignmentOf, countSlots, REVISION_KEY, SLOT_MAP_KEY } from "../version/index.ts";
import type { Revision, Service, SlotMap } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";
import type { CounterTable } from "./counters.ts";
import type { Membership } from "./membership.ts";
import type { OperatorChanges } from "./operator_changes.ts";
import type { WorkerDirectory } from "./worker_directory.ts";

/** Timeout and poll interval of the wait until a revision is active on all instances, in milliseconds. */
const EVERYWHERE_TIMEOUT = 10_000;
const EVERYWHERE_POLL_INTERVAL = 200;

/** Dependencies of {@linkcode createOperatorService}. */
export interface OperatorServiceParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly members: Membership;
  readonly workers: WorkerDirectory;
  readonly requests: RequestService;
  readonly counters: CounterTable;
  readonly changes: OperatorChanges;
  /** Starts a planned stop of this instance. */
  readonly drain: () => void;
}

/** Creates the service behind the operator API. */
export function createOperatorService(parts: OperatorServiceParts): OperatorService {
  const { changes, counters } = parts;
  return {
    applyChange: (change, base) => changes.apply(change, base),
    getChangeOutcome: (id) => changes.getOutcome(id),
    waitUntilInForce: (revision) => waitUntilEverywhere(parts, revision),
    status: () => statusOf(parts),
    services: () => servicesOf(parts),
    drain: parts.drain,
    findRequest: (id) => findRequest(parts, id),
    metrics: () => counters.text(),
  };
}

async function waitUntilEverywhere(
  { clock, members }: OperatorServiceParts,
  revision: number,
): Promise<boolean> {
  const deadline = clock.now() + EVERYWHERE_TIMEOUT;
  for (;;) {
    const versionsByMember = await members.survey();
    const isEverywhere = members
      .present()
      .every(({ id }) => (versionOf(versionsByMember.get(id), REVISION_KEY) ?? 0) >= revision);
    if (isEverywhere) return true;
    if (clock.now() >= deadline) return false;
    await sleep(clock, EVERYWHERE_POLL_INTERVAL);
  }
}

function versionOf(
  versions: readonly ObjectVersion[] | undefined,
  key: string,
): number | undefined {
  return versions?.find((object) => object.key === key)?.version;
}

async function statusOf(parts: OperatorServiceParts): Promise<StatusMessage> {
  const { configuration, members, counters, requests } = parts;
  const revision = configuration.revision();
  const map = configuration.slotMap();
  const versionsByMember = await members.survey();
  return {
    instance: members.self.id,
    revision: revision?.version ?? 0,
    preset: revision?.preset ?? "",
    slotMap: map.version,
    cutOff: configuration.isCutOff(),
    inProgress: requests.inProgress(),
    instances: members.present().map(({ id, zone, callerAddress }) => {
      const versions = versionsByMember.get(id);
      return {
        id,
        zone,
        callers: callerAddress,
        state: members.stateOf(id),
        revision: versionOf(versions, REVISION_KEY),
        slotMap: versionOf(versions, SLOT_MAP_KEY),
        primaryOf: map.slots.filter(({ primary }) => primary === id).length,
        backupOf: map.slots.filter(({ backup }) => backup === id).length,
      };
    }),
    slots: countSlots(map),
    leaving: [...members.leavingWorkers()],
    refusals: counters.refusals(),
    retries: counters.retries(),
  };
}

function servicesOf({ configuration, workers }: OperatorServiceParts): ServicesMessage {
  const revision = configuration.revision();
  if (revision === undefined) return { revision: 0, preset: "", presets: [], services: [] };
  const { deployment, version, preset } = revision;
  return {
    revision: version,
    preset,
    presets: Object.entries(deployment.presets).map(([name, { about }]) => ({
      name,
      about,
      inForce: name === preset,
    })),
    services: Object.entries(deployment.services).map(([name, service]) =>
      serviceView(name, { service, revision, workers }),
    ),
  };
}

function serviceView(
  name: string,
  view: { service: Service; revision: Revision; workers: WorkerDirectory },
): ServicesMessage["services"][number] {
  const { service, revision, workers } = view;
  const activePreset = revision.deployment.presets[revision.preset];
  const capacity = activePreset?.services[name];
  const states: ServicesMessage["services"][number]["workers"] = {};
  for (const worker of workers.list()) {
    if (worker.service === name) states[worker.state] = (states[worker.state] ?? 0) + 1;
  }
  return {
    name,
    kind: service.kind,
    models: service.kind === "model" ? service.models.map((model) => model.name) : [],
    paused: activePreset?.paused.includes(name) ?? false,
    least: capacity?.least ?? 0,
    most: capacity?.most ?? 0,
    workers: states,
  };
}

/** Finds a request by id under every account, because the operator API doesn't name the account. */
async function findRequest(
  { configuration, requests }: OperatorServiceParts,
  id: string,
): Promise<RequestMessage | undefined> {
  const accounts = Object.keys(configuration.revision()?.deployment.accounts ?? {});
  const answers = await Promise.all(accounts.map((account) => requests.find(id, account)));
  const record = answers.find((answer) => "state" in answer);
  return record === undefined ? undefined : requestView(record, configuration.slotMap());
}

function requestView(record: RequestRecord, map: SlotMap): RequestMessage {
  const { primary, backup } = assignmentOf(map, record.slot);
  const { id, account, service, state, reason, detail, slot, attempt, worker } = record;
  const { acceptedAt, deadlineAt } = record;
  const view = { id, account, service, state, reason, detail, slot, attempt, worker };
  const tokens = record.tokensFrom + record.tokens.length;
  return { ...view, owner: primary, backup, tokens, acceptedAt, deadlineAt };
}
