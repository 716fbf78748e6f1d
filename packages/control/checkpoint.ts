/**
 * Encodes, splits and restores control checkpoints. A checkpoint is the complete state up to an
 * offset, split into parts that fit into records. A reader whose stream has lost its oldest
 * records to the retention starts from a checkpoint.
 */

import { Buffer } from "node:buffer";
import { z } from "zod";
import { RosemaryrudderError } from "../common/errors.ts";
import { sha256Hex } from "../common/hashing.ts";
import type {
  InstanceId,
  Offset,
  SectionName,
  WriterId,
} from "../common/ids.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";
import {
  buildConfiguration,
  emptySectionValues,
  replaceSection,
  type SectionValues,
} from "./configuration.ts";
import { checkpointPartBytes } from "./constants.ts";
import type { Member } from "./control-state.ts";
import { type CheckpointPart, memberJoinedSchema } from "./records.ts";
import type { ReducedControlState, StoredVerdict } from "./reduced-state.ts";

const memberSchema = memberJoinedSchema.omit({ type: true }).extend({
  state: z.enum(["active", "leaving"]),
  joinedAt: z.number().int(),
});

const problemSchema = z.object({ path: z.string(), reason: z.string() });
const verdictSchema = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("accepted"), version: z.number().int() }),
  z.object({
    outcome: z.literal("conflict"),
    currentVersion: z.number().int(),
  }),
  z.object({ outcome: z.literal("bad_signature") }),
  z.object({ outcome: z.literal("not_owner") }),
  z.object({
    outcome: z.literal("invalid"),
    problems: z.array(problemSchema),
  }),
]);

/** Maps are encoded as lists of pairs, because the order of entries is part of the state. */
const encodedStateSchema = z.object({
  appliedOffset: z.number().int(),
  membershipOffset: z.number().int(),
  members: z.array(memberSchema),
  sections: z.array(
    z.tuple([z.string(), z.object({ version: z.number(), body: z.string() })]),
  ),
  verdicts: z.array(z.tuple([
    z.string(),
    z.object({
      section: z.string(),
      offset: z.number().int(),
      verdict: verdictSchema,
    }),
  ])),
  writers: z.array(z.tuple([z.string(), z.number().int()])),
  endedIncarnations: z.array(z.string()),
});

/** Encodes the state; equal states give equal bytes. */
export function encodeState(state: ReducedControlState): Buffer {
  const encoded: z.input<typeof encodedStateSchema> = {
    appliedOffset: state.appliedOffset,
    membershipOffset: state.membershipOffset,
    members: [...state.members.values()],
    sections: [...state.sections].map((
      [name, { version, body }],
    ) => [name, { version, body }]),
    verdicts: [...state.verdicts].map(([id, record]) => [id, record] as never),
    writers: [...state.writers],
    endedIncarnations: [...state.endedIncarnations],
  };
  return encodeValue(encoded);
}

/** Decodes a state; undefined if this release cannot read the bytes. */
export function decodeState(
  bytes: Uint8Array,
): ReducedControlState | undefined {
  let decoded: unknown;
  try {
    decoded = decodeValue(bytes);
  } catch {
    return undefined;
  }
  const parsed = encodedStateSchema.safeParse(decoded);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const sections = new Map(
    data.sections,
  ) as unknown as ReducedControlState["sections"];
  const values = rebuildValues(sections);
  const configuration = values && buildConfiguration(values, {
    sectionVersions: new Map(
      [...sections].map(([name, section]) => [name, section.version]),
    ),
  }).value;
  if (!values || !configuration) return undefined;
  return {
    appliedOffset: data.appliedOffset as Offset,
    membershipOffset: data.membershipOffset as Offset,
    configuration,
    members: new Map(
      data.members.map((member) => [member.instance, member as Member]),
    ) as ReadonlyMap<InstanceId, Member>,
    sections,
    values,
    verdicts: new Map(data.verdicts) as unknown as ReadonlyMap<
      string,
      StoredVerdict
    >,
    writers: new Map(data.writers) as unknown as ReadonlyMap<WriterId, number>,
    endedIncarnations: new Set(data.endedIncarnations),
  };
}

function rebuildValues(
  sections: ReducedControlState["sections"],
): SectionValues | undefined {
  let values = emptySectionValues;
  for (const [name, { body }] of sections) {
    const replaced = replaceSection(
      values,
      name as SectionName,
      JSON.parse(body),
    );
    if (!replaced.value) return undefined;
    values = replaced.value;
  }
  return values;
}

/**
 * Creates the entries of a checkpoint of the state. Throws `checkpoint_too_large` for more than
 * 1,000 parts.
 */
export function createCheckpoint(
  state: ReducedControlState,
  partBytes = checkpointPartBytes,
): CheckpointPart[] {
  const bytes = encodeState(state);
  const parts = Math.max(1, Math.ceil(bytes.length / partBytes));
  if (parts > 1_000) {
    throw new RosemaryrudderError(
      "checkpoint_too_large",
      `a control checkpoint of ${bytes.length} bytes exceeds 1000 parts`,
    );
  }
  const checkpoint = sha256Hex(bytes);
  return Array.from({ length: parts }, (_, part) => ({
    type: "control-checkpoint",
    checkpoint,
    asOf: state.appliedOffset,
    part,
    parts,
    data: new Uint8Array(
      bytes.subarray(part * partBytes, (part + 1) * partBytes),
    ),
  }));
}

/** Assembles checkpoints from their parts. Parts may repeat and belong to several checkpoints. */
export class CheckpointCollector {
  readonly #parts = new Map<string, Map<number, Uint8Array>>();

  /** Adds a part. Returns the state if this completes a valid checkpoint. */
  add(entry: CheckpointPart): ReducedControlState | undefined {
    const parts = this.#parts.get(entry.checkpoint) ?? new Map();
    this.#parts.set(entry.checkpoint, parts.set(entry.part, entry.data));
    if (parts.size < entry.parts) return undefined;
    this.#parts.delete(entry.checkpoint);
    const bytes = Buffer.concat(
      [...parts].sort(([left], [right]) => left - right).map(([, data]) =>
        data
      ),
    );
    if (sha256Hex(bytes) !== entry.checkpoint) return undefined;
    const state = decodeState(bytes);
    return state?.appliedOffset === entry.asOf ? state : undefined;
  }
}
