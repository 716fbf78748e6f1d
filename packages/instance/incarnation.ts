/** Creates incarnations. An instance gets a new one for each run and each time it joins again. */

import { randomUUID } from "node:crypto";
import { brandAs, type Incarnation } from "../common/ids.ts";

export function createIncarnation(): Incarnation {
  return brandAs<Incarnation>(randomUUID());
}
