/**
 * Tests that random and mutated documents, settings and records are refused with a clear error or
 * skipped, and that nothing throws any other exception.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { brandAs, type SectionName } from "../common/ids.ts";
import { ValidationError } from "../common/errors.ts";
import { parseYamlWithSchema } from "../common/settings.ts";
import { instanceSettingsSchema } from "../instance/settings.ts";
import { decodeRecord } from "../log/record.ts";
import { encodeValue } from "../protocol/frames.ts";
import {
  buildConfiguration,
  emptySectionValues,
  replaceSection,
} from "./configuration.ts";
import type { Offset } from "../common/ids.ts";
import { createInitialState } from "./reduced-state.ts";
import { applyStoredRecord } from "./reducer.ts";
import { platformBody, workspaceBody } from "./testing/documents.ts";

const valid = {
  platform: platformBody(),
  north: { workspaces: [workspaceBody("walnut")] },
};

/** Replaces the value at a path in the tree. Each position is taken modulo the number of keys. */
function mutate(
  tree: unknown,
  path: readonly number[],
  value: unknown,
): unknown {
  const [position, ...rest] = path;
  if (position === undefined || typeof tree !== "object" || tree === null) {
    return value;
  }
  const keys = Object.keys(tree);
  const key = keys[position % Math.max(1, keys.length)];
  if (key === undefined) return value;
  const copy: Record<string, unknown> | unknown[] = Array.isArray(tree)
    ? [...tree]
    : { ...tree };
  const target = copy as Record<string, unknown>;
  target[key] = mutate(target[key], rest, value);
  return copy;
}

test("mutated sections are accepted or refused with paths", () => {
  fc.assert(
    fc.property(
      fc.constantFrom("platform", "north"),
      fc.array(fc.nat(20), { maxLength: 5 }),
      fc.jsonValue(),
      (name, path, value) => {
        const body = mutate(valid[name as keyof typeof valid], path, value);
        const replaced = replaceSection(
          emptySectionValues,
          brandAs<SectionName>(name),
          body,
        );
        const built = replaced.value
          ? buildConfiguration(replaced.value, { sectionVersions: new Map() })
          : replaced;
        if (built.value) return;
        assert.ok(built.problems.length > 0);
        for (const problem of built.problems) {
          assert.ok(problem.path.length > 0 && problem.reason.length > 0);
        }
      },
    ),
    { seed: 3, numRuns: 1_500 },
  );
});

test("random settings texts are accepted or refused with a ValidationError", () => {
  const line = fc.tuple(
    fc.constantFrom("instance", "zone", "logUrl", "callerPort", "dialMap", "x"),
    fc.oneof(fc.string(), fc.integer().map(String), fc.constant("[}")),
  ).map(([field, value]) => `${field}: ${value}`);
  fc.assert(
    fc.property(fc.array(line, { maxLength: 6 }), (lines) => {
      try {
        parseYamlWithSchema(instanceSettingsSchema, lines.join("\n"), {
          subject: "settings",
        });
      } catch (error) {
        assert.ok(error instanceof ValidationError, String(error));
      }
    }),
    { seed: 5, numRuns: 1_000 },
  );
});

test("random bytes and values in the control stream change nothing and do not throw", () => {
  const values = fc.oneof(
    fc.uint8Array({ maxLength: 60 }),
    fc.jsonValue().map((value) => new Uint8Array(encodeValue(value))),
    fc.record({
      version: fc.integer(),
      writer: fc.string(),
      sequence: fc.nat(5),
      writtenAt: fc.double({ noNaN: true }),
      entries: fc.array(fc.oneof(
        fc.jsonValue(),
        fc.record({
          type: fc.constantFrom("member-joined", "section-published"),
        }),
      )),
    }).map((value) => new Uint8Array(encodeValue(value))),
  );
  fc.assert(
    fc.property(fc.array(values, { maxLength: 8 }), (records) => {
      let state = createInitialState();
      for (const [index, data] of records.entries()) {
        decodeRecord(data);
        const offset = index as Offset;
        state = applyStoredRecord(state, { offset, time: 0, data });
        assert.equal(state.appliedOffset, offset);
      }
      assert.equal(state.members.size, 0);
      assert.equal(state.configuration.sectionVersions.size, 0);
    }),
    { seed: 9, numRuns: 1_000 },
  );
});
