/** Messages between the coordinator of an upstream and its clients. */

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
  count: countSchema,
  earliestDeadline: z.number(),
});

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
  released: z.array(z.string()).default([]),
  /** All grants that the sender holds; in heartbeats and after a change of coordinator. */
  held: z.array(heldGrantSchema).optional(),
  /** First-token times of online requests, in milliseconds. */
  firstTokens: z.array(z.number()).default([]),
  /** Requests that the upstream itself reported as waiting. */
  reportedWaiting: countSchema.optional(),
});

export type UpstreamReport = z.output<typeof upstreamReportSchema>;

export const reportMessage = definePeerMessage(
  "capacity/report",
  z.object({
    /** The coordinator's run whose grants are counted in `seen`. */
    run: z.string(),
    /** Number of the last grant that the sender received in that run. */
    seen: countSchema,
    upstreams: z.array(upstreamReportSchema),
  }).parse,
);

export const grantSchema = z.object({
  number: z.number().int(),
  upstream: upstreamSchema,
  workspace: workspaceSchema,
  target: targetSchema,
});

export const grantMessage = definePeerMessage(
  "capacity/grant",
  z.object({
    run: z.string(),
    grants: z.array(grantSchema),
    /** Ids of grants that are taken back. */
    revoked: z.array(z.string()),
  }).parse,
);

export const loadSchema = z.object({
  upstream: upstreamSchema,
  online: countSchema,
  batch: countSchema,
  limit: z.number(),
  /** The receiver's own part of the online requests. */
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

export function grantId(run: string, number: number): string {
  return `${run}/${number}`;
}
