/** What is known of the brittleness of services, so that a worker that has just started is expected to be as brittle. */
export interface ServiceBrittleness {
  /** Records that a worker of the service survives no more than this number of rejections per second. */
  record(service: string, survives: number): void;
  /** Returns the smallest number that a worker of the service has stated lately; undefined if none did. */
  expected(service: string): number | undefined;
}

/**
 * Milliseconds for which a statement counts for other workers. All workers of a service may have fallen over, and return
 * after some seconds.
 */
const STATEMENT_TTL = 30_000;

/**
 * Creates the record without statements.
 *
 * A worker that falls over states nothing until its first answer after it has returned. Without this record, all instances
 * would send it what other workers can't take, and it would fall over again.
 *
 * @param time Returns the time that all instances agree on, in milliseconds since 1970.
 */
export function createServiceBrittleness(time: () => number): ServiceBrittleness {
  const statements = new Map<string, { survives: number; at: number }>();
  const expected = (service: string): number | undefined => {
    const found = statements.get(service);
    if (found !== undefined && time() - found.at <= STATEMENT_TTL) return found.survives;
    statements.delete(service);
    return undefined;
  };
  return {
    record: (service, survives) =>
      void statements.set(service, {
        survives: Math.min(survives, expected(service) ?? Infinity),
        at: time(),
      }),
    expected,
  };
}
