/** Concurrent execution with a bounded number of running actions. */

/** Calls the action for each item, at most `limit` at once; results keep the order of items. */
export async function mapInParallel<Item, Result>(
  items: readonly Item[],
  limit: number,
  action: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  let next = 0;
  const worker = async () => {
    while (next < items.length) {
      const index = next++;
      results[index] = await action(items[index] as Item);
    }
  };
  await Promise.all(
    Array.from({ length: Math.min(limit, items.length) }, worker),
  );
  return results;
}
