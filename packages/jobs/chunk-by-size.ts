/** Splits records into chunks, each small enough for one append call to the store. */

import { maximumAppendBytes } from "./constants.ts";

/** Bytes that a record takes up in addition to its value. */
export const recordOverheadBytes = 128;

export function chunkBySize<Value>(
  values: readonly Value[],
  sizeOf: (value: Value) => number,
): Value[][] {
  const chunks: Value[][] = [];
  let bytes = 0;
  for (const value of values) {
    const size = sizeOf(value) + recordOverheadBytes;
    const last = chunks.at(-1);
    if (!last || bytes + size > maximumAppendBytes) {
      chunks.push([value]);
      bytes = size;
    } else {
      last.push(value);
      bytes += size;
    }
  }
  return chunks;
}
