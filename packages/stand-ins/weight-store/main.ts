#!/usr/bin/env node
/** Command-line program of the weight store stand-in. */

import { runProgram } from "../../common/program.ts";
import { startWeightStore, weightStoreSettingsSchema } from "./weight-store.ts";

await runProgram({
  name: "rosemaryrudder-weight-store-stand-in",
  description: "A rate-limited store of model weights, for tests.",
  schema: weightStoreSettingsSchema,
  start: async ({ settings, logger }) => {
    const store = await startWeightStore(settings, logger);
    return { stop: () => store.close() };
  },
});
