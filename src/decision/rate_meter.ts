/** Measures a rate over the last two minutes, in buckets of one second. */
export interface RateMeter {
  /** Adds an amount at the given time. */
  add(amount: number, now: number): void;
  /**
   * Returns the amount per second over the last `span` milliseconds, ending `ago` milliseconds
   * before now.
   */
  rate(now: number, options: { span: number; ago?: number }): number;
}

/** Milliseconds. */
const BUCKET_LENGTH = 1_000;
const BUCKET_COUNT = 128;

/** Creates a meter without samples. */
export function createRateMeter(): RateMeter {
  const amounts = new Float64Array(BUCKET_COUNT);
  let latest = Number.NEGATIVE_INFINITY;
  let first: number | undefined;
  const advance = (now: number): void => {
    const bucket = Math.floor(now / BUCKET_LENGTH);
    const passed = Math.min(BUCKET_COUNT, bucket - latest);
    for (let step = 1; step <= passed; step++) amounts[bucketIndex(bucket - passed + step)] = 0;
    latest = Math.max(latest, bucket);
    first ??= bucket;
  };
  return {
    add: (amount, now) => {
      advance(now);
      const index = bucketIndex(latest);
      amounts[index] = (amounts[index] ?? 0) + amount;
    },
    rate: (now, { span, ago = 0 }) => {
      advance(now);
      const newest = Math.floor((now - ago) / BUCKET_LENGTH);
      const spanBuckets = Math.round(span / BUCKET_LENGTH);
      // A new meter has measured less than the span. Dividing by the span would give a rate close
      // to 0.
      const measuredBuckets = Math.min(spanBuckets, Math.max(0, newest - (first ?? newest) + 1));
      let sum = 0;
      for (let step = 0; step < measuredBuckets; step++)
        sum += amounts[bucketIndex(newest - step)] ?? 0;
      return measuredBuckets === 0 ? 0 : sum / ((measuredBuckets * BUCKET_LENGTH) / 1_000);
    },
  };
}

function bucketIndex(bucket: number): number {
  return ((bucket % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT;
}
