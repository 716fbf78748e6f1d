/**
 * Applies the records of the control stream to the control state, one at a time. The reducer is a
 * pure function: readers that have applied the same records hold equal states, regardless of
 * their clocks, settings and starting points.
 */

import type { z } from "zod";
import type { Incarnation, InstanceId, Offset } from "../common/ids.ts";
import type { StoredRecord } from "../log/log-client.ts";
import { decodeRecord } from "../log/record.ts";
import {
  controlSchemaVersion,
  maximumEndedIncarnations,
  maximumTrackedWriters,
} from "./constants.ts";
import type { Member } from "./control-state.ts";
import { applyPublish } from "./publish.ts";
import { incarnationKey } from "./peer-group.ts";
import { appendBounded, type ReducedControlState } from "./reduced-state.ts";
import {
  type MemberEvicted,
  memberEvictedSchema,
  type MemberJoined,
  memberJoinedSchema,
  type MemberLeaving,
  memberLeavingSchema,
  type MemberLeft,
  memberLeftSchema,
  sectionPublishedSchema,
} from "./records.ts";

/** Applies a stored record. Records at or below the applied offset change nothing. */
export function applyStoredRecord(
  state: ReducedControlState,
  stored: StoredRecord,
): ReducedControlState {
  if (stored.offset <= state.appliedOffset) return state;
  const advanced: ReducedControlState = {
    ...state,
    appliedOffset: stored.offset,
  };
  const record = decodeRecord(stored.data);
  // Every reader skips the same undecodable records, so their states stay equal.
  if (!record) return advanced;
  const highest = state.writers.get(record.writer);
  if (highest !== undefined && record.sequence <= highest) return advanced;
  const sequenced = {
    ...advanced,
    writers: appendBounded(
      state.writers,
      record.writer,
      record.sequence,
      maximumTrackedWriters,
    ),
  };
  if (record.version > controlSchemaVersion) return sequenced;
  return record.entries.reduce<ReducedControlState>(
    (current, entry) => applyEntry(current, entry, stored.offset),
    sequenced,
  );
}

interface EntryHandler {
  readonly apply: (
    state: ReducedControlState,
    entry: unknown,
    offset: Offset,
  ) => ReducedControlState;
}

/** An entry that does not match its schema is skipped; the rest of its record is applied. */
function defineHandler<Schema extends z.ZodType>(
  schema: Schema,
  apply: (
    state: ReducedControlState,
    entry: z.output<Schema>,
    offset: Offset,
  ) => ReducedControlState,
): EntryHandler {
  return {
    apply: (state, entry, offset) => {
      const parsed = schema.safeParse(entry);
      return parsed.success ? apply(state, parsed.data, offset) : state;
    },
  };
}

/** Handlers of schema version 1. Checkpoints do not change the state and have no handler. */
const entryHandlers: ReadonlyMap<string, EntryHandler> = new Map([
  ["section-published", defineHandler(sectionPublishedSchema, applyPublish)],
  ["member-joined", defineHandler(memberJoinedSchema, applyJoined)],
  ["member-leaving", defineHandler(memberLeavingSchema, applyLeaving)],
  ["member-left", defineHandler(memberLeftSchema, applyEnded)],
  ["member-evicted", defineHandler(memberEvictedSchema, applyEnded)],
]);

function applyEntry(
  state: ReducedControlState,
  entry: unknown,
  offset: Offset,
): ReducedControlState {
  const type = (entry as { type?: unknown } | null)?.type;
  const handler = typeof type === "string"
    ? entryHandlers.get(type)
    : undefined;
  return handler ? handler.apply(state, entry, offset) : state;
}

function withMembers(
  state: ReducedControlState,
  members: ReadonlyMap<InstanceId, Member>,
  offset: Offset,
): ReducedControlState {
  return { ...state, members, membershipOffset: offset };
}

function withEndedIncarnation(
  state: ReducedControlState,
  member: { instance: InstanceId; incarnation: Incarnation },
): ReducedControlState {
  const ended = [...state.endedIncarnations, incarnationKey(member)];
  return {
    ...state,
    endedIncarnations: new Set(ended.slice(-maximumEndedIncarnations)),
  };
}

function applyJoined(
  state: ReducedControlState,
  entry: MemberJoined,
  offset: Offset,
): ReducedControlState {
  const { instance, incarnation, zone, host, port, metricsUrl } = entry;
  const existing = state.members.get(instance);
  if (existing?.incarnation === incarnation) return state;
  if (state.endedIncarnations.has(incarnationKey(entry))) return state;
  const base = existing ? withEndedIncarnation(state, existing) : state;
  const member: Member = {
    instance,
    incarnation,
    zone,
    host,
    port,
    metricsUrl,
    state: "active",
    joinedAt: offset,
  };
  const members = new Map(state.members);
  members.delete(instance);
  return withMembers(base, members.set(instance, member), offset);
}

function applyLeaving(
  state: ReducedControlState,
  { instance, incarnation }: MemberLeaving,
  offset: Offset,
): ReducedControlState {
  const existing = state.members.get(instance);
  if (
    existing?.incarnation !== incarnation || existing.state === "leaving"
  ) return state;
  const members = new Map(state.members)
    .set(instance, { ...existing, state: "leaving" });
  return withMembers(state, members, offset);
}

/** Removes the member; a delayed record of an older incarnation must not remove a newer one. */
function applyEnded(
  state: ReducedControlState,
  entry: MemberLeft | MemberEvicted,
  offset: Offset,
): ReducedControlState {
  const { instance, incarnation } = entry;
  if (state.members.get(instance)?.incarnation !== incarnation) return state;
  const members = new Map(state.members);
  members.delete(instance);
  return withMembers(withEndedIncarnation(state, entry), members, offset);
}
