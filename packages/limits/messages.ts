/** Messages of the rate limiter between instances. */

import { z } from "zod";
import { brandAs, type Offset, type WorkspaceId } from "../common/ids.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";

const workspaceSchema = z.string().transform((id) => brandAs<WorkspaceId>(id));
const amountSchema = z.number().nonnegative();

/** Asks a holder for tokens. The answer names the level that is left. */
export const collectMessage = definePeerMessage(
  "limits/collect",
  z.object({
    workspace: workspaceSchema,
    amount: z.number().positive(),
    /** Whether only whole tokens are wanted. */
    whole: z.boolean(),
    /** Tokens that fit into the asker's own bucket besides. */
    spare: amountSchema,
  }).parse,
  z.object({
    transfer: z.number().int(),
    amount: amountSchema,
    level: z.number(),
  }).parse,
);

/** Ends transfers: the tokens were used, except for the refund. */
export const settleMessage = definePeerMessage(
  "limits/settle",
  z.object({
    workspace: workspaceSchema,
    transfer: z.number().int(),
    refund: amountSchema,
  }).parse,
);

/** Hands tokens of a shrinking share to a growing one. They are lost with the message. */
export const handoverMessage = definePeerMessage(
  "limits/handover",
  z.object({
    workspace: workspaceSchema,
    offset: z.number().int().transform((offset) => brandAs<Offset>(offset)),
    amount: amountSchema,
  }).parse,
);
