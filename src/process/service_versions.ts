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
