#!/usr/bin/env node
/** Command-line program of the plain service stand-in. */

import { runProgram } from "../../common/program.ts";
import {
  plainServiceSettingsSchema,
  startPlainService,
} from "./plain-service.ts";

await runProgram({
  name: "rosemaryrudder-plain-service-stand-in",
  description: "A service that answers any request, for tests.",
  schema: plainServiceSettingsSchema,
  start: async ({ settings, logger }) => {
    const service = await startPlainService(settings, logger);
    return { stop: () => service.close() };
  },
});
