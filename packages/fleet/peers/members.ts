/**
 * The members of the fleet, from the records that each instance writes when it starts and removes
 * when it leaves. The record of an instance that died stays until a live instance removes it.
 */

import type { InstanceId, Offset } from "../../common/ids.ts";
import { decodeValue, encodeValue, FrameError } from "../../protocol/frames.ts";
import type { PeerAddress } from "../../protocol/peer-connection.ts";
import * as z from "zod/mini";
import type { KeyedRecord } from "../../store/keyed-store.ts";
import { KeyedTable } from "../keyed-table.ts";

export interface Member extends PeerAddress {
  readonly instance: InstanceId;
  readonly incarnation: string;
  readonly zone: string;
  /** How much of the fleet's work the machine can bear, relative to others; 1 for a usual one. */
  readonly capacity: number;
}

const maximumPort = 65_535;

const memberSchema = z.object({
  incarnation: z.string(),
  // Connecting to a host or port of another form throws at once.
  host: z.string().check(z.regex(/^[\w.:-]+$/)),
  port: z.int().check(z.positive(), z.lte(maximumPort)),
  zone: z.string(),
  // Instances of an earlier version do not state their capacity.
  capacity: z._default(z.number().check(z.nonnegative()), 1),
});

export function encodeMember(member: Member): Uint8Array {
  const { incarnation, host, port, zone, capacity } = member;
  return encodeValue({ incarnation, host, port, zone, capacity });
}

export class MemberTable {
  readonly #table = new KeyedTable();
  #members = new Map<InstanceId, Member>();

  /** Adds records that the store returned; true if any of them was newer than those known. */
  applyRecords(
    records: readonly KeyedRecord[],
    position: Offset,
    { isSnapshot }: { isSnapshot: boolean },
  ): boolean {
    const changed = isSnapshot
      ? this.#table.replace(records, position)
      : this.#table.merge(records, position);
    for (const record of changed) this.#applyRecord(record);
    return changed.length > 0;
  }

  get(instance: InstanceId): Member | undefined {
    return this.#members.get(instance);
  }

  get size(): number {
    return this.#members.size;
  }

  all(): readonly Member[] {
    return [...this.#members.values()];
  }

  #applyRecord(record: KeyedRecord): void {
    const instance = record.key as InstanceId;
    const member = record.value && decodeMember(instance, record.value);
    if (member) this.#members.set(instance, member);
    else this.#members.delete(instance);
  }
}

/** Undefined if the record does not match, e.g. one of another version of the program. */
function decodeMember(
  instance: InstanceId,
  value: Uint8Array,
): Member | undefined {
  let content: unknown;
  try {
    content = decodeValue(value);
  } catch (error) {
    if (error instanceof FrameError) return undefined;
    throw error;
  }
  const result = memberSchema.safeParse(content);
  return result.success ? { instance, ...result.data } : undefined;
}
