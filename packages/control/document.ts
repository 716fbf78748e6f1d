/**
 * Schemas of the published document, which consists of sections that are owned by teams and
 * versioned one by one. The schemas are the reference for every field; `docs/configuration.md`
 * describes them for operators.
 */

import { z } from "zod";
import {
  brandAs,
  type JobId,
  type KeyId,
  type ModelName,
  type RouteId,
  type SectionName,
  type TeamName,
  type UpstreamName,
  type WorkspaceId,
} from "../common/ids.ts";

/** Name of the section that holds the teams, the upstreams with their models, and log limits. */
export const platformSectionName = brandAs<SectionName>("platform");

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, {
  message:
    "must be 1 to 63 of a-z, 0-9, '.' and '-', beginning with a letter or digit",
});
/** Name of a section. */
export const sectionNameSchema = nameSchema.transform((name) =>
  brandAs<SectionName>(name)
);
const sha256Schema = z.string().regex(/^[0-9a-f]{64}$/, {
  message: "must be the SHA-256 of the key as 64 hexadecimal digits",
});
const addressSchema = z.string().regex(/^[0-9a-fA-F.:[\]]+:[0-9]{1,5}$/, {
  message: "must be an IP address and a port, such as 10.0.0.1:8000",
});

export const teamSchema = z.strictObject({
  name: nameSchema.transform((name) => brandAs<TeamName>(name)),
  /** Ed25519 public key, SPKI in base64. */
  publicKey: z.string().min(1),
  sections: z.array(nameSchema.transform((name) => brandAs<SectionName>(name)))
    .min(1),
});

export const upstreamSchema = z.strictObject({
  name: nameSchema.transform((name) => brandAs<UpstreamName>(name)),
  kind: z.enum(["engine", "plain"]),
  address: addressSchema,
  /** Models that an engine serves; empty for plain services. */
  models: z.array(
    z.string().min(1).transform((name) => brandAs<ModelName>(name)),
  ).default([]),
  /** Number of requests that the upstream runs concurrently. */
  concurrency: z.number().int().positive(),
  /** Whether an engine refuses orders with an old fencing token. */
  checksFencing: z.boolean().default(false),
});

export const platformSectionSchema = z.strictObject({
  /** Number of batch partitions. It cannot change after the first publish. */
  partitions: z.number().int().min(1).max(4096).default(32),
  log: z.strictObject({
    /** Appends per second that the log service accepts from the whole fleet. */
    appendsPerSecond: z.number().positive().default(400),
    /** How long the log service keeps a record. */
    retentionSeconds: z.number().positive().default(7 * 24 * 3600),
  }).prefault({}),
  teams: z.array(teamSchema).min(1),
  upstreams: z.array(upstreamSchema).default([]),
});

export const keySchema = z.strictObject({
  id: nameSchema.transform((name) => brandAs<KeyId>(name)),
  sha256: sha256Schema,
});

export const workspaceSchema = z.strictObject({
  id: nameSchema.transform((name) => brandAs<WorkspaceId>(name)),
  /** Requests per second over the whole fleet. */
  ratePerSecond: z.number().positive(),
  /** Size of the token bucket: requests accepted at once over the whole fleet. */
  burst: z.number().min(1),
  /** Weight of the workspace when batch capacity is divided among workspaces. */
  batchWeight: z.number().positive().default(1),
  /** Models that the workspace may call; all models if absent. */
  models: z.array(
    z.string().min(1).transform((name) => brandAs<ModelName>(name)),
  ).optional(),
  keys: z.array(keySchema).default([]),
});

export const routeSchema = z.strictObject({
  id: nameSchema.transform((name) => brandAs<RouteId>(name)),
  /** Path prefix of calls to the instances, such as /scale. */
  pathPrefix: z.string().regex(/^\/[A-Za-z0-9._~/-]*[A-Za-z0-9._~-]$/, {
    message: "must begin with '/' and must not end with '/'",
  }),
  /** Plain services that serve the route. */
  upstreams: z.array(
    nameSchema.transform((name) => brandAs<UpstreamName>(name)),
  ).min(1),
  /** Whether a call may be retried even if an earlier attempt may have run. */
  repeatable: z.boolean().default(false),
  /** Whether the route can be called without a key. */
  openToAll: z.boolean().default(false),
  /** Workspaces that may use the route; all if absent. Must be absent if `openToAll` is set. */
  workspaces: z.array(
    nameSchema.transform((name) => brandAs<WorkspaceId>(name)),
  ).optional(),
  /** Whether the path prefix is removed before the call is forwarded to the upstream. */
  stripPrefix: z.boolean().default(true),
});

export const teamSectionSchema = z.strictObject({
  workspaces: z.array(workspaceSchema).default([]),
  routes: z.array(routeSchema).default([]),
  /** Ids of cancelled jobs. Only jobs of this section's workspaces are affected. */
  cancelledJobs: z.array(
    z.string().min(1).transform((id) => brandAs<JobId>(id)),
  ).default([]),
});

export type Team = z.output<typeof teamSchema>;
export type Upstream = z.output<typeof upstreamSchema>;
export type PlatformSection = z.output<typeof platformSectionSchema>;
export type TeamSection = z.output<typeof teamSectionSchema>;
export type Workspace = z.output<typeof workspaceSchema>;
export type Route = z.output<typeof routeSchema>;
