#!/usr/bin/env node
/** Command-line program of the engine stand-in. */

import { runProgram } from "../../common/program.ts";
import { startEngine } from "./engine.ts";
import { engineSettingsSchema } from "./settings.ts";

await runProgram({
  name: "rosemaryrudder-engine-stand-in",
  description: "A model engine with continuous batching, for tests.",
  schema: engineSettingsSchema,
  start: async ({ settings, logger }) => {
    const engine = await startEngine(settings, logger);
    return { stop: () => engine.close() };
  },
});
