/**
 * Computes quantiles of a stream in constant memory.
 *
 * Lengths and times of answers have heavy tails: one script of 4,000 tokens among a hundred lookups
 * of 20 triples their mean, and every decision based on the mean is wrong for all of them. A
 * quantile moves by one rank per sample, whatever the sample's size.
 *
 * Samples are counted in buckets a quarter of a power of two wide, so a quantile is off by at most
 * 9 in 100, which is less than the spread of the values themselves. A sample's weight falls with
 * the number of later samples, so that a change of load has an effect after about one half-life.
 *
 * @module
 */

/** Counts samples, with more weight for later ones. */
export interface QuantileSketch {
  /** The sum of the samples' weights; the latest sample has weight 1. */
  readonly count: number;
  /** Counts a sample; values below 1 count as 1. */
  add(value: number): void;
  /**
   * Returns the value that the given fraction of the samples doesn't exceed.
   *
   * @param fraction From 0 to 1.
   * @returns The quantile, or undefined before the first sample.
   */
  quantile(fraction: number): number | undefined;
  /** Removes all samples. */
  clear(): void;
}

const BUCKETS_PER_DOUBLING = 4;
/** Values up to 2^24. A day in milliseconds is 2^26.4, but no value here exceeds a few hours. */
const BUCKET_COUNT = 24 * BUCKETS_PER_DOUBLING;
/** The factor from the lower end of a bucket to its geometric middle. */
const HALF_BUCKET = 2 ** (0.5 / BUCKETS_PER_DOUBLING);
/** The weight of new samples grows; all counts are scaled down before it loses precision. */
const MAX_WEIGHT = 2 ** 40;

/**
 * Creates an empty sketch.
 *
 * @param halfLife Number of samples after which a sample's weight has halved.
 */
export function createQuantileSketch(halfLife: number): QuantileSketch {
  const counts = new Float64Array(BUCKET_COUNT);
  const growth = 2 ** (1 / halfLife);
  let weight = 1;
  let total = 0;
  const rescale = (): void => {
    counts.forEach((count, index) => {
      counts[index] = count / weight;
    });
    total /= weight;
    weight = 1;
  };
  return {
    get count() {
      return total / weight;
    },
    add: (value) => {
      weight *= growth;
      if (weight > MAX_WEIGHT) rescale();
      const bucket = bucketOf(value);
      counts[bucket] = (counts[bucket] ?? 0) + weight;
      total += weight;
    },
    quantile: (fraction) => {
      if (total === 0) return undefined;
      const rank = fraction * total;
      let cumulativeCount = 0;
      for (let index = 0; index < BUCKET_COUNT; index++) {
        cumulativeCount += counts[index] ?? 0;
        if (cumulativeCount >= rank && cumulativeCount > 0) return valueOf(index);
      }
      return valueOf(BUCKET_COUNT - 1);
    },
    clear: () => {
      counts.fill(0);
      total = 0;
      weight = 1;
    },
  };
}

function bucketOf(value: number): number {
  if (value <= 1) return 0;
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log2(value) * BUCKETS_PER_DOUBLING));
}

function valueOf(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING) * HALF_BUCKET;
}
