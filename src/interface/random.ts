/** A source of random numbers. It is injected so that a run can be repeated with the same seed. */
export interface Random {
  /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
}
