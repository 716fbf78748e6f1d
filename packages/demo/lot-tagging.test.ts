/** Tests that the committed example file matches the output of its generator. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { engineSettingsSchema } from "../stand-ins/engine/settings.ts";
import { readExample } from "./example-documents.ts";
import {
  createLotTaggingItems,
  lotTaggingFile,
  toJsonLines,
} from "./lot-tagging.ts";

test("the lot-tagging file is up to date, with unique ids and five impossible items", () => {
  const items = createLotTaggingItems();
  assert.equal(readExample(lotTaggingFile), toJsonLines(items));
  assert.equal(new Set(items.map((item) => item.custom_id)).size, 1_000);
  const { impossibleMarker } = engineSettingsSchema.parse({});
  const impossible = items.filter((item) =>
    JSON.stringify(item.body).includes(impossibleMarker)
  );
  assert.equal(impossible.length, 5);
});
