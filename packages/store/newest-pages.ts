/** Reads the newest records of a partition page by page, in the order of their keys. */

import type { KeyedStore, NewestPage, StreamPartition } from "./keyed-store.ts";

export async function* readNewestPages(
  store: KeyedStore,
  target: StreamPartition,
  afterKey?: string,
): AsyncGenerator<NewestPage> {
  let after = afterKey;
  for (;;) {
    const page = await store.readNewest(target, after);
    yield page;
    after = page.records.at(-1)?.key;
    if (!page.hasMore || after === undefined) return;
  }
}
