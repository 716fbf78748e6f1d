/** Reads the newest record of each key of a partition, page by page in key order. */

import {
  type KeyedStore,
  type NewestPage,
  type RelayRules,
  StoreUnavailableError,
  type StreamPartition,
} from "./keyed-store.ts";

export async function* readNewestPages(
  store: KeyedStore,
  target: StreamPartition,
  afterKey?: string,
  rules: RelayRules = {},
): AsyncGenerator<NewestPage> {
  let after = afterKey;
  for (;;) {
    const page = await store.readNewest(target, after, rules);
    yield page;
    after = page.records.at(-1)?.key;
    if (!page.hasMore) return;
    if (after === undefined) {
      throw new StoreUnavailableError(
        "a page of the newest records is empty, though more follow",
        { mayHaveTakenEffect: false },
      );
    }
  }
}
