/** Counts requests in sliding windows of time. */

/** Largest number of the times, in milliseconds, that lie in any window of the given length. */
export function mostInWindow(
  times: readonly number[],
  windowMilliseconds: number,
): number {
  const sorted = times.toSorted((left, right) => left - right);
  let most = 0;
  let start = 0;
  for (const [end, time] of sorted.entries()) {
    while (time - sorted[start]! >= windowMilliseconds) start += 1;
    most = Math.max(most, end - start + 1);
  }
  return most;
}
