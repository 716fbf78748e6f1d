/**
 * Schemas of the entries in control stream records. They belong to schema version 1 and must not
 * change: a change of meaning needs a new version, so that old records keep their verdict.
 */

import { z } from "zod";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type SectionName,
  type TeamName,
  type ZoneId,
} from "../common/ids.ts";

const instanceSchema = z.string().min(1).max(200).transform((text) =>
  brandAs<InstanceId>(text)
);
const incarnationSchema = z.string().min(1).max(200).transform((text) =>
  brandAs<Incarnation>(text)
);
const offsetSchema = z.number().int().min(-1).transform((value) =>
  brandAs<Offset>(value)
);

export const sectionPublishedSchema = z.object({
  type: z.literal("section-published"),
  section: z.string().min(1).max(63).transform((text) =>
    brandAs<SectionName>(text)
  ),
  /** Version on which the new one is based; 0 for a section that does not exist yet. */
  baseVersion: z.number().int().nonnegative(),
  /** JSON text. The text itself is hashed, so readers need no canonical form of JSON. */
  body: z.string(),
  team: z.string().min(1).max(63).transform((text) => brandAs<TeamName>(text)),
  /** Ed25519 signature of the publish id, in base64. */
  signature: z.string().max(200),
});

export const memberJoinedSchema = z.object({
  type: z.literal("member-joined"),
  instance: instanceSchema,
  incarnation: incarnationSchema,
  zone: z.string().min(1).max(200).transform((text) => brandAs<ZoneId>(text)),
  host: z.string().min(1).max(200),
  port: z.number().int().min(1).max(65_535),
  metricsUrl: z.string().max(500),
});

const memberReferenceShape = {
  instance: instanceSchema,
  incarnation: incarnationSchema,
};

export const memberLeavingSchema = z.object({
  type: z.literal("member-leaving"),
  ...memberReferenceShape,
});
export const memberLeftSchema = z.object({
  type: z.literal("member-left"),
  ...memberReferenceShape,
});
export const memberEvictedSchema = z.object({
  type: z.literal("member-evicted"),
  ...memberReferenceShape,
});

export const checkpointPartSchema = z.object({
  type: z.literal("control-checkpoint"),
  /** Hash of the whole encoded state, which tells apart the parts of different checkpoints. */
  checkpoint: z.string().min(1).max(128),
  /** The state includes this record and everything before it. */
  asOf: offsetSchema,
  part: z.number().int().nonnegative(),
  parts: z.number().int().min(1).max(1_000),
  data: z.instanceof(Uint8Array),
});

export type SectionPublished = z.output<typeof sectionPublishedSchema>;
export type MemberJoined = z.output<typeof memberJoinedSchema>;
export type MemberLeaving = z.output<typeof memberLeavingSchema>;
export type MemberLeft = z.output<typeof memberLeftSchema>;
export type MemberEvicted = z.output<typeof memberEvictedSchema>;
export type CheckpointPart = z.output<typeof checkpointPartSchema>;

export type ControlEntry =
  | SectionPublished
  | MemberJoined
  | MemberLeaving
  | MemberLeft
  | MemberEvicted
  | CheckpointPart;
