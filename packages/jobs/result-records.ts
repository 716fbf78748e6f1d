/**
 * Turns results and failure counts into records that the store takes: one group for each job, split
 * by size, and a text that is too large for one record in parts that precede its result.
 */

import { Buffer } from "node:buffer";
import { maximumValueBytes } from "./constants.ts";
import type {
  BatchRecord,
  GroupRecord,
  ItemFailures,
  ItemResult,
  TextRecord,
} from "./records.ts";

export interface PendingEntries {
  results: ItemResult[];
  failures: ItemFailures[];
}

/** Bytes allowed for the ids and field names of one entry. */
const entryOverheadBytes = 120;
/** The two highest bits of a byte that continues a character in UTF-8. */
const continuationMask = 0xc0;
const continuationBits = 0x80;

/** `nextTextId` returns an id that no other text of the partition has. */
export function toRecords(
  pending: PendingEntries,
  nextTextId: () => string,
): BatchRecord[] {
  const texts: TextRecord[] = [];
  const results = pending.results.map((result) => {
    if (
      Buffer.byteLength(result.text) + entryOverheadBytes <= maximumValueBytes
    ) {
      return result;
    }
    const id = nextTextId();
    const parts = splitText(
      result.text,
      maximumValueBytes - entryOverheadBytes,
    );
    for (const [part, text] of parts.entries()) {
      const { job, item } = result;
      texts.push({ kind: "text", job, item, id, part, text });
    }
    return { ...result, text: "", parts: { id, count: parts.length } };
  });
  return [...texts, ...toGroups({ results, failures: pending.failures })];
}

/** Splits a text into parts of limited size in UTF-8, between characters. */
export function splitText(text: string, maximumBytes: number): string[] {
  const bytes = Buffer.from(text);
  const parts: string[] = [];
  for (let start = 0; start < bytes.length;) {
    let end = Math.min(start + maximumBytes, bytes.length);
    while (
      end < bytes.length &&
      (bytes[end]! & continuationMask) === continuationBits
    ) end -= 1;
    parts.push(bytes.toString("utf8", start, end));
    start = end;
  }
  return parts;
}

/**
 * The records that take the place of one that the store has rejected as invalid. A group is split
 * into its entries; a single result, or a part of its text, gives way to the dead letter of the item;
 * a single failure count is dropped, so that the item gets an attempt more.
 */
export function recordsInsteadOf(rejected: BatchRecord): BatchRecord[] {
  if (rejected.kind === "text") return [deadLetterOf(rejected)];
  if (rejected.kind !== "group") return [];
  const { results, failures } = rejected;
  if (results.length + failures.length > 1) {
    return [
      ...results.map((result) => groupOf([result], [])),
      ...failures.map((entry) => groupOf([], [entry])),
    ];
  }
  const [result] = results;
  const isLastResort = result?.state === "dead_letter" && result.text === "";
  if (!result || isLastResort) return [];
  return [deadLetterOf(result)];
}

function deadLetterOf(
  { job, item }: Pick<ItemResult, "job" | "item">,
): GroupRecord {
  return groupOf([{ job, item, state: "dead_letter", text: "" }], []);
}

function groupOf(
  results: readonly ItemResult[],
  failures: readonly ItemFailures[],
): GroupRecord {
  return { kind: "group", results, failures };
}

function toGroups({ results, failures }: PendingEntries): GroupRecord[] {
  const jobs = new Set([...results, ...failures].map(({ job }) => job));
  return [...jobs].flatMap((job) =>
    splitBySize({
      results: results.filter((result) => result.job === job),
      failures: failures.filter((entry) => entry.job === job),
    })
  );
}

function splitBySize(pending: PendingEntries): GroupRecord[] {
  const groups: GroupRecord[] = [];
  let current: PendingEntries = { results: [], failures: [] };
  let bytes = 0;
  const add = (size: number, addTo: (group: PendingEntries) => void) => {
    const count = current.results.length + current.failures.length;
    if (bytes + size > maximumValueBytes && count > 0) {
      groups.push({ kind: "group", ...current });
      current = { results: [], failures: [] };
      bytes = 0;
    }
    addTo(current);
    bytes += size;
  };
  for (const result of pending.results) {
    const size = Buffer.byteLength(result.text) + entryOverheadBytes;
    add(size, (group) => group.results.push(result));
  }
  for (const entry of pending.failures) {
    add(entryOverheadBytes, (group) => group.failures.push(entry));
  }
  groups.push({ kind: "group", ...current });
  return groups;
}
