/** Command `diff`: shows how a file differs from the document in force. */

import { z } from "zod";
import { normalizedSection } from "../canonical.ts";
import { defineCommand } from "../command.ts";
import { ControlLog } from "../control-log.ts";
import { describeDifferences } from "../difference.ts";
import { DocumentFile } from "../document-file.ts";

export const diffCommand = defineCommand({
  usage: "diff <file>",
  description: "Show how a file differs from the current document",
  flags: z.object({ file: z.string() }),
  run: async (context, { file }) => {
    const document = DocumentFile.read(file);
    const log = new ControlLog(
      context.openLog(),
      context.settings.timeoutSeconds,
    );
    await log.refresh();
    for (
      const { name, baseVersion, body } of document.selectSections(
        context.section,
      )
    ) {
      const current = log.state.sections.get(name);
      const [before, after] = [current?.body, body].map((text) => {
        if (text === undefined) return {};
        const value: unknown = JSON.parse(text);
        return normalizedSection(name, value) ?? value;
      });
      const lines = describeDifferences(before, after);
      const version = current?.version ?? 0;
      const state = version === 0
        ? "new section"
        : lines.length === 0
        ? `unchanged at version ${version}`
        : version === baseVersion
        ? `changed from version ${version}`
        : `based on version ${baseVersion}, but the current version is ${version}`;
      context.print(`${name}: ${state}`);
      for (const line of lines) context.print(`  ${line}`);
    }
    return 0;
  },
});
