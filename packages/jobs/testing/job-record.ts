import type { JobId, RouteId } from "../../common/ids.ts";
import type { JobRecord } from "../records.ts";

/** A job of a test with the items `item0`, `item1` and so on. */
export function createJobRecord(job: JobId, items: number): JobRecord {
  return {
    kind: "job",
    job,
    workspace: undefined,
    route: "r" as RouteId,
    host: "h",
    acceptedAt: 0,
    dueAt: 1,
    retainedUntil: 2,
    maximumAttempts: 3,
    bodyOffset: 0,
    items: Array.from({ length: items }, (_, index) => ({
      id: `item${index}`,
      path: "/p",
      headers: [],
      tokens: 1,
      bodyBytes: 0,
    })),
  };
}
