/** Peer messages of the rate limiter: their names and the schemas of their bodies. */

import { z } from "zod";
import { brandAs, type Offset, type WorkspaceId } from "../common/ids.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";

const workspaceSchema = z.string().transform((id) => brandAs<WorkspaceId>(id));
const amountSchema = z.number().nonnegative();

/** Requests tokens from a holder. The response contains the level that remains in its bucket. */
export const collectMessage = definePeerMessage(
  "limits/collect",
  z.object({
    workspace: workspaceSchema,
    amount: z.number().positive(),
    /** Whether the amount is rounded down to whole tokens. */
    whole: z.boolean(),
    /** Further tokens that fit into the requesting instance's own bucket. */
    spare: amountSchema,
  }).parse,
  z.object({
    transfer: z.number().int(),
    amount: amountSchema,
    level: z.number(),
  }).parse,
);

/** Ends a transfer: all of its tokens were used except for the refund. */
export const settleMessage = definePeerMessage(
  "limits/settle",
  z.object({
    workspace: workspaceSchema,
    transfer: z.number().int(),
    refund: amountSchema,
  }).parse,
);

/**
 * Moves tokens from a holder whose share shrinks to one whose share grows. If the message is lost,
 * so are the tokens.
 */
export const handoverMessage = definePeerMessage(
  "limits/handover",
  z.object({
    workspace: workspaceSchema,
    offset: z.number().int().transform((offset) => brandAs<Offset>(offset)),
    amount: amountSchema,
  }).parse,
);
