/** Messages between instances that keep the control state up to date. */

import { z } from "zod";
import { brandAs, type InstanceId, type Offset } from "../common/ids.ts";
import type { StoredRecord } from "../log/log-client.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";

const offsetSchema = z.number().int().min(-1).transform((value) =>
  brandAs<Offset>(value)
);
const instanceSchema = z.string().transform((text) =>
  brandAs<InstanceId>(text)
);
// Bodies are tuples because heartbeats are most of the traffic between instances.

/** Applied offset of the sender and the members that it has not heard from. */
const heartbeatSchema = z.tuple([offsetSchema, z.array(instanceSchema)]);
/**
 * Hash of the incarnation of the answering process, its applied offset, the age of its own
 * evidence in milliseconds (null if it has none) and the offset that it knows to be in force.
 * The incarnation itself would make a third of the frame.
 */
const heartbeatReplySchema = z.tuple([
  z.number().int().nonnegative(),
  offsetSchema,
  z.number().int().nonnegative().nullable(),
  offsetSchema,
]);

export type HeartbeatBody = z.output<typeof heartbeatSchema>;
export type HeartbeatReply = z.output<typeof heartbeatReplySchema>;

export const heartbeatMessage = definePeerMessage<
  HeartbeatBody,
  HeartbeatReply
>(
  "heartbeat",
  (body) => heartbeatSchema.parse(body),
  (body) => heartbeatReplySchema.parse(body),
);

/** Sent at once when the sender has applied a new record. */
export const recordAnnouncement = definePeerMessage<Offset>(
  "control/applied",
  (body) => offsetSchema.parse(body),
);

const storedRecordSchema = z.object({
  offset: offsetSchema,
  time: z.number(),
  data: z.instanceof(Uint8Array),
});

/** Asks for the records from an offset on, as far as the peer still holds them. */
export const fetchRecordsMessage = definePeerMessage<
  Offset,
  readonly StoredRecord[]
>(
  "control/records",
  (body) => offsetSchema.parse(body),
  (body) => z.array(storedRecordSchema).parse(body),
);
