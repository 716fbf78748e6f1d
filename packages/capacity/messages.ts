/**
 * Messages between the coordinator of an upstream and its clients, the instances that send
 * requests to that upstream.
 */

import { z } from "zod";
import {
  brandAs,
  type ModelName,
  type UpstreamName,
  type WorkspaceId,
} from "../common/ids.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";

const upstreamSchema = z.string().transform((name) =>
  brandAs<UpstreamName>(name)
);
const workspaceSchema = z.string().transform((id) => brandAs<WorkspaceId>(id));
const countSchema = z.number().int().nonnegative();

const targetSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("model"),
    model: z.string().transform((name) => brandAs<ModelName>(name)),
  }),
  z.object({ kind: z.literal("upstream"), upstream: upstreamSchema }),
]);

export const demandSchema = z.object({
  workspace: workspaceSchema,
  target: targetSchema,
  /** Number of items that could start now. */
  count: countSchema,
  /** Wall-clock milliseconds. */
  earliestDeadline: z.number(),
});

/** A grant that the sender of a report holds, with the time since it received the grant. */
export const heldGrantSchema = z.object({
  id: z.string(),
  workspace: workspaceSchema,
  target: targetSchema,
  heldMilliseconds: z.number(),
});

export const upstreamReportSchema = z.object({
  upstream: upstreamSchema,
  /** Online requests in flight from the sender. */
  online: countSchema,
  /** Replaces the sender's demand; absent if it did not change. */
  demand: z.array(demandSchema).optional(),
  /** Ids of grants that ended since the last report. */
  released: z.array(z.string()).default([]),
  /** All grants that the sender holds; only in heartbeats and reports to a new coordinator. */
  held: z.array(heldGrantSchema).optional(),
  /** Times to first token of online requests, in milliseconds. */
  firstTokens: z.array(z.number()).default([]),
  /** Number of requests that the upstream itself reported as waiting. */
  reportedWaiting: countSchema.optional(),
});

export type UpstreamReport = z.output<typeof upstreamReportSchema>;

export const reportMessage = definePeerMessage(
  "capacity/report",
  z.object({
    /** Run of the coordinator's process to which `seen` refers; empty before the first grant. */
    run: z.string(),
    /** Number of the last grant that the sender received from that run; 0 before the first. */
    seen: countSchema,
    upstreams: z.array(upstreamReportSchema),
  }).parse,
);

export const grantSchema = z.object({
  /** Sequence number within the coordinator's run. */
  number: z.number().int(),
  upstream: upstreamSchema,
  workspace: workspaceSchema,
  target: targetSchema,
});

export const grantMessage = definePeerMessage(
  "capacity/grant",
  z.object({
    /** Run of the coordinator's process that issued the grants. */
    run: z.string(),
    grants: z.array(grantSchema),
    /** Ids of the grants that are revoked. */
    revoked: z.array(z.string()),
  }).parse,
);

export const loadSchema = z.object({
  upstream: upstreamSchema,
  /** Online requests in flight. */
  online: countSchema,
  /** Grants in use. */
  batch: countSchema,
  /** Number of requests that the upstream should run at once. */
  limit: z.number(),
  /** Number of the online requests that the receiver itself has in flight. */
  own: countSchema,
});

export const loadMessage = definePeerMessage(
  "capacity/load",
  z.object({ loads: z.array(loadSchema) }).parse,
);

export type UpstreamLoad = z.output<typeof loadSchema>;
export type GrantBody = z.output<typeof grantSchema>;
export type ReportBody = ReturnType<typeof reportMessage.parseRequest>;
export type GrantsBody = ReturnType<typeof grantMessage.parseRequest>;

/** Id of a grant, unique in the fleet. */
export function grantId(run: string, number: number): string {
  return `${run}/${number}`;
}
