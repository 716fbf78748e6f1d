/** The answer to a call on a batch job, as the handler of these calls sends it. */

import type { CallerResponse } from "../gateway/caller-response.ts";

/** Implemented by the response to a caller, and by one that is sent back to another instance. */
export type JobResponse = Pick<
  CallerResponse,
  "fail" | "sendJson" | "sendBytes" | "tryReserve" | "isOver"
>;
