/** Writes examples/lot-tagging.jsonl. Run it from the repository root after `npm run build`. */

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
