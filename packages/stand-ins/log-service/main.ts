#!/usr/bin/env node
/** Command-line program of the log service stand-in. */

import { runProgram } from "../../common/program.ts";
import { logServiceSettingsSchema, startLogService } from "./log-service.ts";

await runProgram({
  name: "rosemaryrudder-log-stand-in",
  description: "An append-only log over HTTP, in memory, for tests.",
  schema: logServiceSettingsSchema,
  start: async ({ settings, logger }) => {
    const service = await startLogService(settings, logger);
    return { stop: () => service.close() };
  },
});
