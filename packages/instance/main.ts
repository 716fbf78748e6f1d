#!/usr/bin/env node
/** Entry point of the program rosemaryrudder-instance, which runs one instance. */

import { runProgram } from "../common/program.ts";
import { Instance } from "./instance.ts";
import { instanceSettingsSchema } from "./settings.ts";

await runProgram({
  name: "rosemaryrudder-instance",
  description: "Serves callers of online and batch inference.",
  schema: instanceSettingsSchema,
  start: async (context) => {
    const instance = new Instance(context);
    await instance.start();
    return instance;
  },
});
