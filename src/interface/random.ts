/** The source of randomness, passed in so that a seed repeats a run. */
export interface Random {
  /** A number drawn evenly from 0 (included) to 1 (excluded). */
  next(): number;
}
