/** Chooses the results that answer one call. */

import { Buffer } from "node:buffer";
import { maximumResultBytes } from "./constants.ts";
import type { JobState } from "./partition-state.ts";
import type { ItemResult } from "./records.ts";

export interface ResultPage {
  readonly results: readonly ItemResult[];
  /** Size of their texts in UTF-8. */
  readonly bytes: number;
}

/** Returns the results from a position on, up to `maximumResultBytes`, but at least one if any. */
export function pageOf(
  state: JobState,
  after: number,
): ResultPage {
  const results: ItemResult[] = [];
  let bytes = 0;
  for (let position = after; position < state.results.length; position++) {
    const result = state.results[position]!;
    const resultBytes = Buffer.byteLength(result.text);
    if (results.length > 0 && bytes + resultBytes > maximumResultBytes) break;
    bytes += resultBytes;
    results.push(result);
  }
  return { results, bytes };
}
