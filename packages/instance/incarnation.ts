/** Incarnations: a new one for each run of an instance and each time it joins again. */

import { randomUUID } from "node:crypto";
import { brandAs, type Incarnation } from "../common/ids.ts";

export function createIncarnation(): Incarnation {
  return brandAs<Incarnation>(randomUUID());
}
