/** Peer messages that keep the control state up to date. */

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
// The bodies are tuples to save bytes: heartbeats are most of the traffic between instances.

/** Applied offset of the sender and the members that it reports as silent. */
const heartbeatSchema = z.tuple([offsetSchema, z.array(instanceSchema)]);
/**
 * Hash of the incarnation of the replying process, its applied offset, the age of its own
 * evidence in milliseconds (null if it has none) and the highest offset that it knows to be in
 * force. A hash is sent because the incarnation itself would take a third of the frame.
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

/** Announces the applied offset of the sender, as soon as it has applied a new record. */
export const recordAnnouncement = definePeerMessage<Offset>(
  "control/applied",
  (body) => offsetSchema.parse(body),
);

const storedRecordSchema = z.object({
  offset: offsetSchema,
  time: z.number(),
  data: z.instanceof(Uint8Array),
});

/** Requests the records from an offset on; the reply is empty if the peer has dropped them. */
export const fetchRecordsMessage = definePeerMessage<
  Offset,
  readonly StoredRecord[]
>(
  "control/records",
  (body) => offsetSchema.parse(body),
  (body) => z.array(storedRecordSchema).parse(body),
);
