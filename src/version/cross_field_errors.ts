import { z } from "zod";

/** An error that involves several values of the document, such as a reference to an undefined name. */
export interface CrossFieldError {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

const names = z.array(z.string()).catch([]);
const table = z.record(z.string(), z.unknown()).optional().catch(undefined);
const bounds = z.object({ least: z.number(), most: z.number() }).optional().catch(undefined);

/**
 * The parts of a deployment document that define or use names. Missing or malformed parts are skipped: the document's
 * schema reports them, and they must not hide other errors.
 */
const nameOutline = z.object({
  zones: z.array(z.string()).optional().catch(undefined),
  services: table,
  machineClasses: table,
  accounts: z.record(z.string(), z.object({ services: names }).catch({ services: [] })).catch({}),
  offers: z
    .array(z.object({ zone: z.string().optional(), machineClass: z.string().optional() }).catch({}))
    .catch([]),
  presets: z
    .record(
      z.string(),
      z
        .object({ services: z.record(z.string(), bounds).catch({}), paused: names })
        .catch({ services: {}, paused: [] }),
    )
    .catch({}),
});

/**
 * Finds references to names that the document doesn't define, and minimums above their maximums.
 *
 * @param source A deployment document as parsed from its file, of any shape.
 * @returns All errors found.
 */
export function findCrossFieldErrors(source: unknown): CrossFieldError[] {
  const parsed = nameOutline.safeParse(source);
  if (!parsed.success) return [];
  const { zones, services, machineClasses, accounts, offers, presets } = parsed.data;
  const errors: CrossFieldError[] = [];
  const requireDefined = (
    found: string | undefined,
    {
      known,
      kind,
      path,
    }: { known: object | undefined; kind: string; path: CrossFieldError["path"] },
  ): void => {
    if (found === undefined || known === undefined || found in known) return;
    const message = `Found the ${kind} "${found}", which the document doesn't define.`;
    errors.push({ path, message });
  };
  const zonesByName =
    zones === undefined ? undefined : Object.fromEntries(zones.map((zone) => [zone, 1]));
  for (const [name, account] of Object.entries(accounts)) {
    account.services.forEach((found, index) => {
      const path = ["accounts", name, "services", index];
      requireDefined(found, { known: services, kind: "service", path });
    });
  }
  offers.forEach((offer, index) => {
    const path = ["offers", index];
    requireDefined(offer.zone, {
      known: zonesByName,
      kind: "availability zone",
      path: [...path, "zone"],
    });
    const classPath = [...path, "machineClass"];
    requireDefined(offer.machineClass, {
      known: machineClasses,
      kind: "machine class",
      path: classPath,
    });
  });
  for (const [name, preset] of Object.entries(presets)) {
    for (const [service, found] of Object.entries(preset.services)) {
      const path = ["presets", name, "services", service];
      requireDefined(service, { known: services, kind: "service", path });
      if (found !== undefined && found.least > found.most) {
        errors.push({ path, message: `Found least ${found.least} above most ${found.most}.` });
      }
    }
    preset.paused.forEach((found, index) => {
      requireDefined(found, {
        known: services,
        kind: "service",
        path: ["presets", name, "paused", index],
      });
    });
  }
  return errors;
}
