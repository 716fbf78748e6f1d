/** Messages to the coordinators with what was seen of prompt parts that may crash servers. */

import * as z from "zod/mini";
import type { PromptPartId } from "../common/ids.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";
import type { BegunReport, CrashReport } from "./crash-evidence.ts";

const partsSchema = z.array(z.string());

const crashSchema = z.object({
  server: z.string(),
  serverStartedAt: z.number(),
  service: z.string(),
  suspects: z.array(z.object({
    request: z.string(),
    sharedPromptParts: partsSchema,
    ownPromptPart: z.optional(z.string()),
    runMilliseconds: z.number(),
  })),
});

export const crashMessage = definePeerMessage<CrashReport>(
  "server-crash",
  (body) => crashSchema.parse(body) as unknown as CrashReport,
);

/** A request with suspected parts was sent. */
export interface TrialNotice {
  readonly request: string;
  readonly parts: readonly PromptPartId[];
}

const trialSchema = z.object({ request: z.string(), parts: partsSchema });

export const trialMessage = definePeerMessage<TrialNotice>(
  "part-trial",
  (body) => trialSchema.parse(body) as unknown as TrialNotice,
);

/** Answers that servers have begun, as the reports between instances carry them. */
export const begunReportSchema = z.object({
  parts: partsSchema,
  counts: z.array(z.tuple([z.string(), z.number()])),
});

export const noBegunAnswers: BegunReport = { parts: [], counts: [] };

/** Asks whether the receiver knows of an answer that has begun on the part. */
export interface ConfirmationRequest {
  readonly part: PromptPartId;
}

export interface ConfirmationReply {
  /** How long ago the newest such answer began; undefined if none is known. */
  readonly begunAgoMilliseconds: number | undefined;
}

const confirmationSchema = z.object({ part: z.string() });
const confirmationReplySchema = z.object({
  begunAgoMilliseconds: z.nullish(z.number()),
});

export const confirmationMessage = definePeerMessage<
  ConfirmationRequest,
  ConfirmationReply
>(
  "part-confirmation",
  (body) => confirmationSchema.parse(body) as unknown as ConfirmationRequest,
  (body) => ({
    begunAgoMilliseconds:
      confirmationReplySchema.parse(body).begunAgoMilliseconds ?? undefined,
  }),
);

/** Sent at once when the answer to a request on trial begins. */
export const begunMessage = definePeerMessage<BegunReport>(
  "part-begun",
  (body) => begunReportSchema.parse(body) as unknown as BegunReport,
);
