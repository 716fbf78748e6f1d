/** Command `fetch`: prints the document in force as YAML that can be edited and published. */

import { stringify } from "yaml";
import { z } from "zod";
import { defineCommand } from "../command.ts";
import { ControlLog } from "../control-log.ts";

export const fetchCommand = defineCommand({
  usage: "fetch",
  description: "Print the current document",
  flags: z.object({}),
  run: async (context) => {
    const log = new ControlLog(
      context.openLog(),
      context.settings.timeoutSeconds,
    );
    await log.refresh();
    const sections = [...log.state.sections]
      .filter(([name]) =>
        context.section === undefined || name === context.section
      )
      .map(([name, { version, body }]) => [
        name,
        { version, ...JSON.parse(body) as object },
      ]);
    const text = stringify(
      { sections: Object.fromEntries(sections) },
      { lineWidth: 0 },
    );
    context.print(text.trimEnd());
    return 0;
  },
});
