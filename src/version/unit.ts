import { z } from "zod";

const MILLISECONDS_PER: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const BYTES_PER: Readonly<Record<string, number>> = {
  B: 1,
  kB: 1_000,
  MB: 1_000_000,
  GB: 1_000_000_000,
};

function quantity(units: Readonly<Record<string, number>>, example: string): z.ZodType<number> {
  const names = Object.keys(units);
  const pattern = new RegExp(`^(\\d+(?:\\.\\d+)?) ?(${names.join("|")})$`);
  return z.string().transform((text, context) => {
    const [, amount, unit] = pattern.exec(text) ?? [];
    if (amount === undefined || unit === undefined) {
      context.addIssue({
        code: "custom",
        message: `Found "${text}", expected a number with one of the units ${names.join(", ")}, such as "${example}".`,
      });
      return z.NEVER;
    }
    return Number(amount) * (units[unit] ?? 1);
  });
}

/** Schema of a duration in settings, such as `"1.6 s"`; parsed to milliseconds. */
export const duration = quantity(MILLISECONDS_PER, "1.6 s");

/** Schema of a size in settings, such as `"16 MB"`; parsed to bytes. */
export const byteSize = quantity(BYTES_PER, "16 MB");

/** Schema of a price in settings, such as `"0.84 EUR/h"`; parsed to euros per hour. */
export const price = quantity({ "EUR/h": 1 }, "0.84 EUR/h");
