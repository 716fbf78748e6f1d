/** Settings of the instance program. Every field can be overridden by a flag of the same name. */

import { z } from "zod";
import { brandAs, type InstanceId, type ZoneId } from "../common/ids.ts";

const portSchema = z.number().int().min(0).max(65_535);

export const instanceSettingsSchema = z.strictObject({
  /** Name of the instance, unique in the fleet. */
  instance: z.string().min(1).transform((name) => brandAs<InstanceId>(name)),
  /** Availability zone in which the instance runs. */
  zone: z.string().min(1).transform((name) => brandAs<ZoneId>(name)),
  /** Host on which the server for callers listens. */
  callerHost: z.string().default("127.0.0.1"),
  /** Port for callers; 0 selects a free port. */
  callerPort: portSchema.default(8080),
  /** Host and port for metrics, health, readiness and status. */
  metricsHost: z.string().default("127.0.0.1"),
  metricsPort: portSchema.default(9100),
  /** Host and port on which other instances reach this one. */
  peerHost: z.string().default("127.0.0.1"),
  peerPort: portSchema.default(7100),
  /** Base URL of the log service. */
  logUrl: z.url(),
  /** Base URL of the platform's list of instances; without it all upstreams count as live. */
  instanceListUrl: z.url().optional(),
  /** Maps advertised addresses to the ones to dial instead, both as "host:port". */
  dialMap: z.record(z.string(), z.string()).default({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
  /** Time in a shutdown from failing readiness to closing the listener for callers. */
  drainDelayMilliseconds: z.number().nonnegative().default(2_000),
  /** Maximum time for draining in a shutdown; connections still open then are closed. */
  drainLimitMilliseconds: z.number().positive().default(120_000),
  /** `naive` replaces routing, limits and batch admission by a baseline for measurements. */
  policy: z.enum(["current", "naive"]).default("current"),
});

export type InstanceSettings = z.output<typeof instanceSettingsSchema>;
