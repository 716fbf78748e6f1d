/** Splits what is to be written into calls that the store accepts. */

import { maximumAppendBytes } from "./constants.ts";

/** Bytes that a record needs beside its value. */
export const recordOverheadBytes = 128;

export function gatherBySize<Value>(
  values: readonly Value[],
  sizeOf: (value: Value) => number,
): Value[][] {
  const calls: Value[][] = [];
  let bytes = 0;
  for (const value of values) {
    const size = sizeOf(value) + recordOverheadBytes;
    const last = calls.at(-1);
    if (!last || bytes + size > maximumAppendBytes) {
      calls.push([value]);
      bytes = size;
    } else {
      last.push(value);
      bytes += size;
    }
  }
  return calls;
}
