/** Envelopes of the frames between instances. */

import { z } from "zod";

export const envelopeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    protocol: z.number().int(),
    instance: z.string(),
    incarnation: z.string(),
  }),
  z.object({ kind: z.literal("send"), type: z.string(), body: z.unknown() }),
  z.object({
    kind: z.literal("request"),
    id: z.number().int(),
    type: z.string(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal("reply"),
    id: z.number().int(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal("failure"),
    id: z.number().int(),
    code: z.string(),
    message: z.string(),
  }),
]);

export type Envelope = z.infer<typeof envelopeSchema>;
