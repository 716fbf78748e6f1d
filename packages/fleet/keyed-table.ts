/**
 * A copy of the newest record of each key of one partition. Records come from the store or from
 * peers, in any order; for each key the record with the highest offset wins. A removed key stays
 * as a record without a value, so that a late copy of its last value cannot restore it.
 */

import type { Offset } from "../common/ids.ts";
import type { KeyedRecord } from "../store/keyed-store.ts";

export class KeyedTable {
  readonly #records = new Map<string, KeyedRecord>();
  #position = 0 as Offset;

  /** Every record before this offset is in the copy or was replaced by a later one. */
  get position(): Offset {
    return this.#position;
  }

  /** Adds consecutive records up to the position; returns those newer than the known ones. */
  merge(records: readonly KeyedRecord[], position: Offset): KeyedRecord[] {
    const changed = records.filter((record) => {
      const known = this.#records.get(record.key);
      if (known && known.offset >= record.offset) return false;
      this.#records.set(record.key, record);
      return true;
    });
    if (position > this.#position) this.#position = position;
    return changed;
  }

  /**
   * Replaces the copy by a snapshot of the newest records; returns the records that changed. Keys
   * missing from the snapshot count as removed, unless it is older than the copy.
   */
  replace(records: readonly KeyedRecord[], position: Offset): KeyedRecord[] {
    const present = new Set(records.map((record) => record.key));
    const isOutdated = position < this.#position;
    const removals = isOutdated ? [] : [...this.#records.values()]
      .filter((known) =>
        known.value !== undefined && known.offset < position &&
        !present.has(known.key)
      )
      .map((known): KeyedRecord => ({
        key: known.key,
        value: undefined,
        offset: Math.max(known.offset + 1, position - 1) as Offset,
      }));
    return this.merge([...records, ...removals], position);
  }

  /** The records that a peer with an older position lacks. */
  recordsSince(position: number): KeyedRecord[] {
    return [...this.#records.values()]
      .filter((record) => record.offset >= position);
  }
}
