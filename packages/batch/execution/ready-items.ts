/**
 * Lists of the items that are ready to start, by workspace and target. An item with several
 * targets is in the list of each of them, and is removed from all of them when it starts.
 */

import type { BatchDemand, CapacityTarget } from "../../capacity/capacity.ts";
import type { WorkspaceId } from "../../common/ids.ts";
import { compareRuns, type RangeRun } from "./range-run.ts";

export interface ReadyItem {
  readonly run: RangeRun;
  /** Line counted from the start of the range. */
  readonly line: number;
  readonly customId: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
  readonly targets: readonly CapacityTarget[];
  readonly isRepeatable: boolean;
  /**
   * Whether the item was in flight when an earlier owner was lost. An owner starts one such item
   * at a time.
   */
  readonly isSuspect: boolean;
  /** Refused calls that did not count as attempts; see `maximumUncountedRefusals`. */
  refusals: number;
}

interface ReadyList {
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  readonly isRepeatable: boolean;
  readonly items: ReadyItem[];
}

export interface DemandOptions {
  /** Whether to leave out items whose calls need an intent in the log. */
  onlyRepeatable?: boolean;
}

export class ReadyItems {
  readonly #lists = new Map<string, ReadyList>();
  #bytes = 0;
  #size = 0;

  /** Total length of the request bodies. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of items; an item with several targets counts once. */
  get size(): number {
    return this.#size;
  }

  add(item: ReadyItem): void {
    const { workspace } = item.run.range.spec;
    const { isRepeatable } = item;
    for (const target of item.targets) {
      const key = listKey(workspace, target, isRepeatable);
      let list = this.#lists.get(key);
      if (!list) {
        list = { workspace, target, isRepeatable, items: [] };
        this.#lists.set(key, list);
      }
      list.items.push(item);
    }
    this.#bytes += item.body.length;
    this.#size++;
    item.run.readyCount++;
  }

  /**
   * Removes and returns the item with the earliest deadline for the target. Items with the same
   * deadline are ordered by `compareRuns` and then by line.
   */
  take(
    { workspace, target }: Pick<BatchDemand, "workspace" | "target">,
    options: DemandOptions = {},
  ): ReadyItem | undefined {
    let earliest: ReadyItem | undefined;
    for (const isRepeatable of includedRepeatableValues(options)) {
      const list = this.#lists.get(listKey(workspace, target, isRepeatable));
      for (const item of list?.items ?? []) {
        if (!earliest || hasHigherPriority(item, earliest)) earliest = item;
      }
    }
    if (earliest) this.#remove(earliest);
    return earliest;
  }

  /** Number of ready items for that target of the item which has the fewest. */
  shortestListLength(item: ReadyItem): number {
    const { workspace } = item.run.range.spec;
    return Math.min(
      ...item.targets.map((target) =>
        this.#lists.get(listKey(workspace, target, item.isRepeatable))?.items
          .length ?? 0
      ),
    );
  }

  /** Removes and returns the items that match. */
  removeWhere(matches: (item: ReadyItem) => boolean): ReadyItem[] {
    const matching = new Set(
      [...this.#lists.values()].flatMap(({ items }) => items.filter(matches)),
    );
    for (const item of matching) this.#remove(item);
    return [...matching];
  }

  /** The demand for capacity, with at most `maximum` items for each workspace and target. */
  demand(maximum: number, options: DemandOptions = {}): BatchDemand[] {
    if (maximum <= 0) return [];
    const repeatableValues = includedRepeatableValues(options);
    const demands = new Map<string, BatchDemand>();
    for (
      const { workspace, target, isRepeatable, items } of this.#lists.values()
    ) {
      if (!repeatableValues.includes(isRepeatable)) continue;
      const key = listKey(workspace, target, true);
      const known = demands.get(key);
      demands.set(key, {
        workspace,
        target,
        count: Math.min(maximum, items.length + (known?.count ?? 0)),
        earliestDeadline: items.reduce(
          (earliest, { run }) => Math.min(earliest, run.range.spec.deadline),
          known?.earliestDeadline ?? Number.POSITIVE_INFINITY,
        ),
      });
    }
    return [...demands.values()];
  }

  #remove(item: ReadyItem): void {
    const { workspace } = item.run.range.spec;
    for (const target of item.targets) {
      const key = listKey(workspace, target, item.isRepeatable);
      const items = this.#lists.get(key)?.items ?? [];
      const position = items.indexOf(item);
      const lastItem = items.pop();
      if (lastItem && lastItem !== item) items[position] = lastItem;
      if (items.length === 0) this.#lists.delete(key);
    }
    this.#bytes -= item.body.length;
    this.#size--;
    item.run.readyCount--;
  }
}

function listKey(
  workspace: WorkspaceId,
  target: CapacityTarget,
  isRepeatable: boolean,
): string {
  const name = target.kind === "model" ? target.model : target.upstream;
  return `${workspace}\n${target.kind}\n${isRepeatable}\n${name}`;
}

function includedRepeatableValues(
  { onlyRepeatable }: DemandOptions,
): boolean[] {
  return onlyRepeatable ? [true] : [true, false];
}

function hasHigherPriority(left: ReadyItem, right: ReadyItem): boolean {
  const order = compareRuns(left.run, right.run);
  return order < 0 || (order === 0 && left.line < right.line);
}
