/** Loads the settings of the operators' tool from a YAML file and flags. */

import { z } from "zod";
import { loadSettings } from "../common/settings.ts";
import { defaultTimeoutSeconds } from "./constants.ts";

const settingsSchema = z.strictObject({
  /** Base address of the log service, such as http://127.0.0.1:7000. */
  log: z.url().optional(),
  /** Paths of files with the private signing keys of teams. */
  signingKeys: z.array(z.string().min(1)).default([]),
  timeoutSeconds: z.number().positive().default(defaultTimeoutSeconds),
});

export type OperatorSettings = z.output<typeof settingsSchema>;

export interface OperatorFlags {
  settings?: string | undefined;
  log?: string | undefined;
  signingKey?: string[] | undefined;
  timeout?: number | undefined;
}

export function loadOperatorSettings(flags: OperatorFlags): OperatorSettings {
  const { log, signingKey, timeout } = flags;
  return loadSettings(settingsSchema, {
    path: flags.settings,
    overrides: { log, signingKeys: signingKey, timeoutSeconds: timeout },
  });
}
