/**
 * Command `validate`: checks a file. With `--log` the sections in force that the file does not
 * contain are taken into account.
 */

import { z } from "zod";
import { createInitialState } from "../../control/reduced-state.ts";
import { platformSectionName } from "../../control/document.ts";
import { defineCommand } from "../command.ts";
import { ControlLog } from "../control-log.ts";
import { DocumentFile } from "../document-file.ts";
import { findProblems, replaceSections } from "../publish-plan.ts";

export const validateCommand = defineCommand({
  usage: "validate <file>",
  description: "Check a document without publishing it",
  flags: z.object({ file: z.string() }),
  run: async (context, { file }) => {
    const document = DocumentFile.read(file);
    const sections = document.selectSections(context.section);
    let state = createInitialState();
    if (context.settings.log !== undefined) {
      const log = new ControlLog(
        context.openLog(),
        context.settings.timeoutSeconds,
      );
      await log.refresh();
      state = log.state;
    }
    const canResolve = state.values.platform !== undefined ||
      sections.some(({ name }) => name === platformSectionName);
    const problems = canResolve
      ? findProblems(state, sections)
      : replaceSections(state.values, sections).problems ?? [];
    for (const problem of problems) {
      context.print(document.describeProblem(problem));
    }
    if (problems.length > 0) return 1;
    context.print(
      canResolve
        ? `${file} is valid`
        : `${file} fits its schema; its references were not checked, because ` +
          "it has no platform section and --log is not given",
    );
    return 0;
  },
});
