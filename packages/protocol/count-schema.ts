/** Schema of the counts in messages between instances. */

import * as z from "zod/mini";

/** More requests than one instance can have open; receivers count up to a number one by one. */
const maximumCount = 100_000;

/** Bounds a count rather than rejecting it, since the rest of the message may be of use. */
export const countSchema = z.pipe(
  z.number(),
  z.transform((value) =>
    Math.min(Math.max(0, Math.floor(value)), maximumCount)
  ),
);
