import type { RoutedWorker } from "../interface/index.ts";

/** Versions of workers' software by service. */
export type ServiceVersions = ReadonlyMap<string, ReadonlySet<string>>;

/** Groups the versions of workers by service. */
export function versionsByService(
  workers: readonly Pick<RoutedWorker, "service" | "version">[],
): ServiceVersions {
  const grouped = new Map<string, Set<string>>();
  for (const { service, version } of workers) {
    const versions = grouped.get(service) ?? new Set();
    grouped.set(service, versions.add(version));
  }
  return grouped;
}

/** Returns the versions of both, by service. */
export function mergeVersions(a: ServiceVersions, b: ServiceVersions): ServiceVersions {
  const services = new Set([...a.keys(), ...b.keys()]);
  return new Map(
    [...services].map((service) => [
      service,
      new Set([...(a.get(service) ?? []), ...(b.get(service) ?? [])]),
    ]),
  );
}

/** Returns the versions of `a` that `b` has, too, by service. Services without any are left out. */
export function sharedVersions(a: ServiceVersions, b: ServiceVersions): ServiceVersions {
  return filterVersions(a, (service, version) => b.get(service)?.has(version) === true);
}

/** Returns the versions of `a` that `b` lacks, by service. Services without any are left out. */
export function missingVersions(a: ServiceVersions, b: ServiceVersions): ServiceVersions {
  return filterVersions(a, (service, version) => b.get(service)?.has(version) !== true);
}

function filterVersions(
  all: ServiceVersions,
  isKept: (service: string, version: string) => boolean,
): ServiceVersions {
  const filtered = [...all].map(([service, versions]): [string, Set<string>] => [
    service,
    new Set([...versions].filter((version) => isKept(service, version))),
  ]);
  return new Map(filtered.filter(([, versions]) => versions.size > 0));
}
