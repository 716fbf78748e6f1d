/**
 * The usual time of some work at the servers of a service: the running median of all samples. A
 * median hardly follows the few servers that are slow at the moment, nor single outliers.
 */

import {
  finalReferenceStep,
  initialReferenceStep,
  minimumReferenceSamples,
} from "./constants.ts";

export class ReferenceTime {
  #logarithm = 0;
  #samples = 0;

  /** Returns the sample as a multiple of the usual time; undefined while that is not known. */
  add(milliseconds: number): number | undefined {
    const logarithm = Math.log(milliseconds);
    if (this.#samples === 0) this.#logarithm = logarithm;
    this.#samples += 1;
    const step = Math.max(
      finalReferenceStep,
      initialReferenceStep / this.#samples,
    );
    const difference = logarithm - this.#logarithm;
    this.#logarithm += Math.max(-step, Math.min(step, difference));
    return this.#samples < minimumReferenceSamples
      ? undefined
      : Math.exp(difference);
  }
}
