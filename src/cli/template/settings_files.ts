import {
  createAccountKeys,
  formatTemplateDocument,
  createRandomKey,
} from "./deployment_template.ts";
import type { DeploymentTemplate } from "./deployment_template.ts";

/** One settings file of a deployment. */
export interface SettingsFile {
  readonly name: string;
  readonly text: string;
  /** Whether the file holds credentials and must be readable by its owner only. */
  readonly isSecret: boolean;
}

const ENTRY_INSTANCE_COUNT = 6;
const LOOPBACK = "127.0.0.1";
/** Ports on the loopback address; further entry instances and backend servers use the ports after the first. */
const FIRST_CALLER_PORT = 8080;
const FIRST_PEER_PORT = 9080;
const PLATFORM_PORT = 7070;
const FIRST_BACKEND_PORT = 10_000;

/**
 * Creates all settings files of a deployment at full size, on loopback addresses.
 *
 * @returns The deployment document, the credentials, the settings of the stand-ins and of each entry instance.
 */
export function createSettingsFiles(template: DeploymentTemplate): SettingsFile[] {
  const keys = createAccountKeys(template);
  const secrets = { operatorKey: createRandomKey(), peerKey: createRandomKey() };
  return [
    { name: "deployment.jsonc", text: formatTemplateDocument(template, keys), isSecret: false },
    { name: "secrets.jsonc", text: formatSecrets(secrets), isSecret: true },
    { name: "client-keys.jsonc", text: formatClientKeys(keys), isSecret: true },
    { name: "platform.jsonc", text: formatPlatformSettings(template), isSecret: false },
    { name: "backends.jsonc", text: formatBackendSettings(template), isSecret: false },
    ...Array.from({ length: ENTRY_INSTANCE_COUNT }, (_, index) => createEntryFile(template, index)),
  ];
}

function formatSecrets(secrets: { operatorKey: string; peerKey: string }): string {
  return `// The operator credential, and the credential that entry instances use among each other. Keep this file out of
// version control.
${JSON.stringify(secrets, undefined, 2)}
`;
}

function formatClientKeys(keys: Readonly<Record<string, string>>): string {
  return `// The API key of each client account, for distribution. No process reads this file. Keep it out of version control.
${JSON.stringify(keys, undefined, 2)}
`;
}

function createEntryFile(template: DeploymentTemplate, index: number): SettingsFile {
  const zone = template.zones[index % template.zones.length] ?? "";
  const seeds = [0, 1, 2]
    .filter((seed) => seed !== index)
    .map((seed) => `"${loopbackAddress(FIRST_PEER_PORT + seed)}"`);
  const text = `// The settings of one entry instance that it can't obtain from the platform. Addresses are numeric, IP:PORT.
{
  "name": "entry-${index + 1}",
  "zone": "${zone}",
  "region": "${template.region}",
  // Listen address for callers and operators.
  "callers": "${loopbackAddress(FIRST_CALLER_PORT + index)}",
  // Listen address for other entry instances.
  "peers": "${loopbackAddress(FIRST_PEER_PORT + index)}",
  // Peer addresses of a few other entry instances, contacted to join the fleet.
  "seeds": [${seeds.join(", ")}],
  "platform": {
    "objects": "${loopbackAddress(PLATFORM_PORT)}",
    "cloud": "${loopbackAddress(PLATFORM_PORT)}",
    "instances": "${loopbackAddress(PLATFORM_PORT)}"
  },
  // A path relative to this file, or { "operatorKey": …, "peerKey": … }.
  "secrets": "secrets.jsonc"
  // "tls": { "certificate": "entry.pem", "key": "entry.key" },
  // "statsd": "127.0.0.1:8125",
  // "record": "traffic.jsonl"
}
`;
  return { name: `entry-${index + 1}.jsonc`, text, isSecret: false };
}

/** A worker of the deployment in the platform stand-in's list. */
interface TemplateWorker {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
}

function listWorkers({ workers, zones }: DeploymentTemplate): TemplateWorker[] {
  const numbered = Object.entries(workers).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({
      service,
      id: `${service}-${index + 1}`,
      index,
    })),
  );
  return numbered.map(({ service, id, index }, offset) => ({
    id,
    service,
    address: loopbackAddress(FIRST_BACKEND_PORT + offset),
    zone: zones[index % zones.length] ?? "",
  }));
}

function formatPlatformSettings(template: DeploymentTemplate): string {
  const lines = listWorkers(template).map(
    ({ id, service, address, zone }) =>
      `    { "id": "${id}", "address": "http://${address}", "service": "${service}", "zone": "${zone}", "machineClass": "${template.machineClass}", "purchase": "reclaimable" }`,
  );
  return `// The stand-in for the platform: samphireshore standin platform --settings platform.jsonc
{
  "listen": "${loopbackAddress(PLATFORM_PORT)}",
  "workers": [
${lines.join(",\n")}
  ]
}
`;
}

function formatBackendSettings(template: DeploymentTemplate): string {
  const lines = listWorkers(template).map(({ address }) => `    { "listen": "${address}" }`);
  return `// The stand-ins for the backend servers: samphireshore standin backend --settings backends.jsonc
{
  // Time between two tokens of a response.
  "tokenTime": "20 ms",
  "servers": [
${lines.join(",\n")}
  ]
}
`;
}

function loopbackAddress(port: number): string {
  return `${LOOPBACK}:${port}`;
}
