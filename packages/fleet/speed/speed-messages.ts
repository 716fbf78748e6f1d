/** How instances tell each other what they have observed of the speed of servers. */

import * as z from "zod/mini";
import type { InstanceId } from "../../common/ids.ts";
import type { SpeedObservation } from "./server-speeds.ts";

/** Server, work time in percent of the usual one, weight, whether the server has stated it. */
export type WireSpeed = readonly [InstanceId, number, number, boolean];

/** A report of an instance of an earlier release has no such field. */
export const wireSpeedsSchema = z._default(
  z.array(z.tuple([
    z.string(),
    z.number().check(z.nonnegative()),
    z.number().check(z.nonnegative()),
    z.boolean(),
  ])),
  [],
);

export function encodeSpeeds(
  observations: readonly SpeedObservation[],
): WireSpeed[] {
  return observations.map(({ server, source, ratio, weight }) => [
    server,
    Math.round(ratio * 100),
    weight,
    source === "stated",
  ]);
}

export function decodeSpeeds(speeds: readonly WireSpeed[]): SpeedObservation[] {
  return speeds.map(([server, percent, weight, isStated]) => ({
    server,
    source: isStated ? "stated" : "measured",
    ratio: percent / 100,
    weight,
  }));
}
