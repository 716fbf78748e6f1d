/** Schema of the envelopes that the frames between instances carry. */

import * as z from "zod/mini";

export const envelopeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    protocol: z.int(),
    instance: z.string(),
    incarnation: z.string(),
  }),
  z.object({ kind: z.literal("send"), type: z.string(), body: z.unknown() }),
  z.object({
    kind: z.literal("request"),
    id: z.int(),
    type: z.string(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal("reply"),
    id: z.int(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal("failure"),
    id: z.int(),
    code: z.string(),
    message: z.string(),
  }),
]);

export type Envelope = z.infer<typeof envelopeSchema>;
