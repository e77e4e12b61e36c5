/**
 * Quantiles of a stream in constant memory.
 *
 * Lengths and times of answers have heavy tails: one script of 4,000 tokens among a hundred lookups of 20
 * triples their mean, and every decision made from the mean is wrong for all of them. A quantile moves by
 * one rank for one sample, whatever its size.
 *
 * Samples are counted in buckets a quarter of a power of two wide, so a quantile is at most 9 in 100 off,
 * which is less than the spread of the quantities themselves. Old samples lose weight by the number of
 * later ones, so that a change of load shows after about one half-life.
 *
 * @module
 */

/** Counts samples, the later ones with more weight. */
export interface QuantileSketch {
  /** Samples counted, old ones with less weight. */
  readonly count: number;
  /** Counts a sample; values below 1 count as 1. */
  add(value: number): void;
  /**
   * The value that the given fraction of the samples don't exceed.
   *
   * @param fraction From 0 to 1.
   * @returns The quantile, or undefined before the first sample.
   */
  quantile(fraction: number): number | undefined;
  /** Forgets all samples. */
  clear(): void;
}

const BUCKETS_PER_DOUBLING = 4;
/** Values up to 2^24: a day in milliseconds is 2^26.4, but nothing here waits longer than a few hours. */
const BUCKET_COUNT = 24 * BUCKETS_PER_DOUBLING;
const HALF_BUCKET = 2 ** (0.5 / BUCKETS_PER_DOUBLING);
/** New samples weigh more and more; before the weight loses precision all counts are scaled down. */
const MAX_WEIGHT = 2 ** 40;

/**
 * Makes an empty sketch.
 *
 * @param halfLife Samples after which a sample's weight has halved.
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
      let passed = 0;
      for (let index = 0; index < BUCKET_COUNT; index++) {
        passed += counts[index] ?? 0;
        if (passed >= rank && passed > 0) return valueOf(index);
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
