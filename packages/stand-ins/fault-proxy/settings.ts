/** Settings of the fault proxy and the changes that its admin interface takes. */

import { z } from "zod";
import { logLevelSchema } from "../../common/program.ts";

const portSchema = z.number().int().min(0).max(65_535);

export const linkModeSchema = z.enum([
  "forward",
  /** Existing connections are destroyed and new ones refused. */
  "cut",
  /** No byte moves in either direction until the mode changes; connections stay. */
  "freeze",
  /** Requests pass, answers are discarded, and the connection closes after a timeout. */
  "drop_answers",
]);
export type LinkMode = z.output<typeof linkModeSchema>;

export const linkSettingsSchema = z.strictObject({
  name: z.string().min(1),
  listenHost: z.string().default("127.0.0.1"),
  listenPort: portSchema,
  targetHost: z.string().default("127.0.0.1"),
  targetPort: portSchema,
  /** One way. */
  delayMilliseconds: z.number().nonnegative().default(0),
});
export type LinkSettings = z.output<typeof linkSettingsSchema>;

export const faultProxySettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: portSchema.default(7_500).describe("Port of the admin interface"),
  links: z.array(linkSettingsSchema).default([]),
  dropTimeoutMilliseconds: z.number().nonnegative().default(1_000)
    .describe("Time until a connection closes whose answers are dropped"),
  logLevel: logLevelSchema.default("info"),
});
export type FaultProxySettings = z.output<typeof faultProxySettingsSchema>;

export const linkChangeSchema = z.strictObject({
  mode: linkModeSchema.optional(),
  delayMilliseconds: z.number().nonnegative().optional(),
});
export type LinkChange = z.output<typeof linkChangeSchema>;

/** A change of all links whose name fits a pattern, in which `*` stands for any text. */
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
