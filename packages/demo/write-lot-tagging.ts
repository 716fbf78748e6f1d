/** Writes examples/lot-tagging.jsonl. Run it after `npm run build`, from the root. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  createLotTaggingItems,
  lotTaggingFile,
  toJsonLines,
} from "./lot-tagging.ts";

writeFileSync(
  join("examples", lotTaggingFile),
  toJsonLines(createLotTaggingItems()),
);
