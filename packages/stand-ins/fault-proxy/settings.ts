/** Settings of the fault proxy, and the changes of links that its admin interface accepts. */

import { z } from "zod";
import { logLevelSchema } from "../../common/program.ts";

const portSchema = z.number().int().min(0).max(65_535);

export const linkModeSchema = z.enum([
  "forward",
  /** Existing connections are reset and new ones refused. */
  "cut",
  /** No bytes are forwarded in either direction until the mode changes; connections stay open. */
  "freeze",
  /** Requests are forwarded, answers discarded, and the connection is reset after a timeout. */
  "drop_answers",
]);
export type LinkMode = z.output<typeof linkModeSchema>;

export const linkSettingsSchema = z.strictObject({
  name: z.string().min(1),
  listenHost: z.string().default("127.0.0.1"),
  listenPort: portSchema,
  targetHost: z.string().default("127.0.0.1"),
  targetPort: portSchema,
  /** Delay of the bytes in each direction. */
  delayMilliseconds: z.number().nonnegative().default(0),
});
export type LinkSettings = z.output<typeof linkSettingsSchema>;

export const faultProxySettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: portSchema.default(7_500).describe("Port of the admin interface"),
  links: z.array(linkSettingsSchema).default([]),
  dropTimeoutMilliseconds: z.number().nonnegative().default(1_000)
    .describe(
      "Time from the first dropped answer until its connection is reset",
    ),
  logLevel: logLevelSchema.default("info"),
});
export type FaultProxySettings = z.output<typeof faultProxySettingsSchema>;

export const linkChangeSchema = z.strictObject({
  mode: linkModeSchema.optional(),
  delayMilliseconds: z.number().nonnegative().optional(),
});
export type LinkChange = z.output<typeof linkChangeSchema>;

/** A change of all links whose name matches a pattern, in which `*` matches any text. */
export const bulkLinkChangeSchema = linkChangeSchema.extend({
  names: z.union([z.string().min(1), z.array(z.string().min(1))])
    .transform((names) => typeof names === "string" ? [names] : names),
});

export function matchesPattern(name: string, pattern: string): boolean {
  const parts = pattern.split("*").map((part) =>
    part.replace(/[.*+?^${}()|[\]\\]/g, "\\$&")
  );
  return new RegExp(`^${parts.join(".*")}$`).test(name);
}
