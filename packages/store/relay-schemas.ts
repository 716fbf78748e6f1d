/** Schemas of the calls of the store that are made through a peer, and of what the peer returns. */

import * as z from "zod/mini";

const offset = z.int().check(z.nonnegative());
const target = z.object({ stream: z.string(), partition: offset });
const entry = z.object({
  key: z.string(),
  value: z.nullish(z.instanceof(Uint8Array)),
});
const records = z.array(z.extend(entry, { offset }));

export const relayCallSchema = z.discriminatedUnion("call", [
  z.object({ call: z.literal("append"), target, entries: z.array(entry) }),
  z.object({
    call: z.literal("read"),
    target,
    options: z.object({
      from: offset,
      waitMilliseconds: z.optional(z.number().check(z.nonnegative())),
      maximumBytes: z.optional(z.number().check(z.nonnegative())),
    }),
  }),
  z.object({
    call: z.literal("newest"),
    target,
    afterKey: z.optional(z.string()),
  }),
  z.object({
    call: z.literal("join"),
    request: z.object({
      group: z.string(),
      member: z.string(),
      stream: z.string(),
      leaseMilliseconds: z.number(),
      generation: z.number(),
    }),
  }),
  z.object({
    call: z.literal("leave"),
    group: z.string(),
    member: z.string(),
  }),
]);

export const relayReplySchema = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("done"), value: z.unknown() }),
  z.object({
    outcome: z.enum(["history_lost", "full", "rejected"]),
    message: z.string(),
  }),
  z.object({
    outcome: z.literal("unavailable"),
    message: z.string(),
    mayHaveTakenEffect: z.boolean(),
  }),
]);

/** What a call returns that was done. */
export const relayValueSchemas = {
  append: offset,
  read: z.object({ records, next: offset, end: offset }),
  newest: z.object({ records, end: offset, hasMore: z.boolean() }),
  join: z.object({ generation: z.number(), partitions: z.array(offset) }),
  leave: z.unknown(),
} as const;
