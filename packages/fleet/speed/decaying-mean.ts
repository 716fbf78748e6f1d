/**
 * A weighted mean of samples whose weights decay exponentially with their age. The sum of the
 * weights is bounded, so that the mean follows a change sooner the more samples there are.
 */
export class DecayingMean {
  value = 0;
  #weight = 0;
  #updatedAt = 0;
  readonly #decayMilliseconds: number;
  readonly #maximumWeight: number;

  constructor(
    { decayMilliseconds, maximumWeight = Number.POSITIVE_INFINITY }: {
      readonly decayMilliseconds: number;
      readonly maximumWeight?: number;
    },
  ) {
    this.#decayMilliseconds = decayMilliseconds;
    this.#maximumWeight = maximumWeight;
  }

  /** Sum of the decayed weights; `now` is in monotonic milliseconds. */
  weight(now: number): number {
    return this.#weight *
      Math.exp((this.#updatedAt - now) / this.#decayMilliseconds);
  }

  add(sample: number, weight: number, now: number): void {
    const kept = Math.min(
      this.weight(now),
      Math.max(0, this.#maximumWeight - weight),
    );
    this.value = (this.value * kept + sample * weight) / (kept + weight);
    this.#weight = kept + weight;
    this.#updatedAt = now;
  }
}
