#!/usr/bin/env node
/** Command-line program of the instance list stand-in. */

import { runProgram } from "../../common/program.ts";
import {
  instanceListSettingsSchema,
  startInstanceList,
} from "./instance-list.ts";

await runProgram({
  name: "rosemaryrudder-instance-list-stand-in",
  description: "The platform's list of instances, for tests.",
  schema: instanceListSettingsSchema,
  start: async ({ settings, logger }) => {
    const list = await startInstanceList(settings, logger);
    return { stop: () => list.close() };
  },
});
