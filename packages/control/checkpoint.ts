/**
 * Control checkpoints: the whole state with the offset that it includes, cut into parts that fit
 * into records. A reader that starts at a trimmed stream begins with one.
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

/** Lists of pairs instead of maps, because the order of the entries is part of the state. */
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

/** The state as bytes; equal states give equal bytes. */
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

/** Rebuilds a state; undefined if the bytes are not one that this release can read. */
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

/** Entries to append for a checkpoint of the state. */
export function createCheckpoint(
  state: ReducedControlState,
  partBytes = checkpointPartBytes,
): CheckpointPart[] {
  const bytes = encodeState(state);
  const parts = Math.max(1, Math.ceil(bytes.length / partBytes));
  if (parts > 1_000) {
    throw new RosemaryrudderError(
      "checkpoint_too_large",
      `a checkpoint of ${bytes.length} bytes is too large`,
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

/** Puts the parts of checkpoints together; parts may repeat and may be those of several. */
export class CheckpointCollector {
  readonly #parts = new Map<string, Map<number, Uint8Array>>();

  /** Adds a part and returns the state when its checkpoint has become complete. */
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
