#!/usr/bin/env node
/** Command-line program of the fault proxy. */

import { runProgram } from "../../common/program.ts";
import { startFaultProxy } from "./fault-proxy.ts";
import { faultProxySettingsSchema } from "./settings.ts";

await runProgram({
  name: "rosemaryrudder-fault-proxy",
  description: "TCP links with delays that can be cut or frozen, for tests.",
  schema: faultProxySettingsSchema,
  start: async ({ settings, logger }) => {
    const proxy = await startFaultProxy(settings, logger);
    return { stop: () => proxy.close() };
  },
});
