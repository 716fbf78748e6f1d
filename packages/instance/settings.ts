/** Settings of the instance program. Every field can be overridden by a flag of the same name. */

import { z } from "zod";
import { brandAs, type InstanceId, type ZoneId } from "../common/ids.ts";

const portSchema = z.number().int().min(0).max(65_535);

export const instanceSettingsSchema = z.strictObject({
  /** Name of the instance, unique in the fleet. */
  instance: z.string().min(1).transform((name) => brandAs<InstanceId>(name)),
  /** Availability zone in which the instance runs. */
  zone: z.string().min(1).transform((name) => brandAs<ZoneId>(name)),
  callerHost: z.string().default("127.0.0.1"),
  /** Port for callers; 0 takes a free one. */
  callerPort: portSchema.default(8080),
  metricsHost: z.string().default("127.0.0.1"),
  metricsPort: portSchema.default(9100),
  peerHost: z.string().default("127.0.0.1"),
  peerPort: portSchema.default(7100),
  /** Base address of the log service. */
  logUrl: z.url(),
  /** Base address of the platform's list of instances; upstreams count as live without it. */
  instanceListUrl: z.url().optional(),
  /** Addresses to dial in place of the advertised ones, as "host:port" pairs. */
  dialMap: z.record(z.string(), z.string()).default({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
  /** Time between failing readiness and closing the listener. */
  drainDelayMilliseconds: z.number().nonnegative().default(2_000),
  /** Upper bound of a graceful shutdown; connections that remain are closed then. */
  drainLimitMilliseconds: z.number().positive().default(120_000),
  /** Policy for measurements: naive replaces routing, limits and batch admission. */
  policy: z.enum(["current", "naive"]).default("current"),
});

export type InstanceSettings = z.output<typeof instanceSettingsSchema>;
