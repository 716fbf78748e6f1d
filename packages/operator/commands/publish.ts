/** Command `publish`: publishes the changed sections of a file and waits for the verdicts. */

import { z } from "zod";
import type { ValidationProblem } from "../../common/errors.ts";
import type { PlatformSection } from "../../control/document.ts";
import { platformSectionName } from "../../control/document.ts";
import type { PublishVerdict } from "../../control/reduced-state.ts";
import { signPublish } from "../../control/signing.ts";
import { type CommandContext, defineCommand } from "../command.ts";
import { ControlLog } from "../control-log.ts";
import { DocumentFile, type FileSection } from "../document-file.ts";
import {
  findProblems,
  isUnchanged,
  orderPublishes,
  replaceSections,
} from "../publish-plan.ts";
import {
  findSigner,
  ownerOfSection,
  readSigningKeys,
} from "../signing-keys.ts";

export const publishCommand = defineCommand({
  usage: "publish <file>",
  description: "Publish the sections that differ and whose team's key is given",
  flags: z.object({ file: z.string() }),
  run: async (context, { file }) => {
    const { settings } = context;
    const document = DocumentFile.read(file);
    const selected = document.selectSections(context.section);
    const keys = readSigningKeys(settings.signingKeys);
    const log = new ControlLog(context.openLog(), settings.timeoutSeconds);
    await log.refresh();
    const publisher = new FilePublisher({ context, document, log, keys });
    return await publisher.publishAll(selected);
  },
});

interface FilePublisherOptions {
  context: CommandContext;
  document: DocumentFile;
  log: ControlLog;
  keys: ReadonlyMap<string, string>;
}

/** Result for one section; an unchanged section counts as done. */
type Outcome = "done" | "refused" | "no_key";

class FilePublisher {
  readonly #options: FilePublisherOptions;

  constructor(options: FilePublisherOptions) {
    this.#options = options;
  }

  async publishAll(selected: readonly FileSection[]): Promise<number> {
    const { log, context, keys } = this.#options;
    const changed: FileSection[] = [];
    const outcomes: Outcome[] = [];
    for (const section of selected) {
      if (isUnchanged(log.state, section)) {
        outcomes.push(this.#reportUnchanged(section));
      } else changed.push(section);
    }
    const platform = this.#platformAfterPublish(changed);
    const signed = changed.filter(({ name }) =>
      findSigner(platform, name, keys)
    );
    for (const section of changed) {
      if (signed.includes(section)) continue;
      const team = ownerOfSection(platform, section.name);
      context.print(
        `${section.name}: not published, ` +
          (team
            ? `no signing key of team '${team.name}' was given`
            : "no team owns the section"),
      );
      outcomes.push("no_key");
    }
    for (const section of orderPublishes(log.state, signed)) {
      outcomes.push(await this.#publish(section));
    }
    return exitStatus(outcomes, context.section !== undefined);
  }

  /**
   * Returns the platform section that will be in force when the other sections are published: the
   * one in the file if it is valid and its signing key was given, otherwise the current one.
   */
  #platformAfterPublish(
    changed: readonly FileSection[],
  ): PlatformSection | undefined {
    const { log, keys } = this.#options;
    const current = log.state.values.platform;
    const replacement = changed.find(({ name }) =>
      name === platformSectionName
    );
    if (!replacement) return current;
    const next = replaceSections(log.state.values, [replacement]).value
      ?.platform;
    return findSigner(current ?? next, platformSectionName, keys)
      ? next ?? current
      : current;
  }

  #reportUnchanged({ name, baseVersion }: FileSection): Outcome {
    const { log, context, document } = this.#options;
    const { version } = log.state.sections.get(name) ??
      { version: baseVersion };
    context.print(`${name}: unchanged at version ${version}`);
    if (version !== baseVersion) document.writeVersion(name, version);
    return "done";
  }

  async #publish(section: FileSection): Promise<Outcome> {
    const { log, document, keys, context } = this.#options;
    const { name, baseVersion, body } = section;
    const content = { section: name, baseVersion, body };
    // If the response to an accepted publish was lost, its verdict is found by its hash.
    const earlierVerdict = log.verdictOn(content);
    if (earlierVerdict?.outcome === "accepted") {
      document.writeVersion(name, earlierVerdict.version);
      return this.#report(section, earlierVerdict);
    }
    const currentVersion = log.state.sections.get(name)?.version ?? 0;
    if (currentVersion !== baseVersion) {
      return this.#report(section, { outcome: "conflict", currentVersion });
    }
    const problems = findProblems(log.state, [section]);
    if (problems.length > 0) {
      return this.#report(section, { outcome: "invalid", problems });
    }
    const platform = log.state.values.platform ??
      replaceSections(log.state.values, [section]).value?.platform;
    const signer = findSigner(platform, name, keys);
    if (!signer) {
      context.print(`${name}: not published, its team has changed`);
      return "no_key";
    }
    const verdict = await log.publish({
      ...content,
      team: signer.team.name,
      signature: signPublish(content, signer.privateKeyPem),
    });
    if (verdict.outcome === "accepted") {
      document.writeVersion(name, verdict.version);
    }
    return this.#report(section, verdict);
  }

  #report(
    { name, baseVersion }: FileSection,
    verdict: PublishVerdict,
  ): Outcome {
    const { context, document } = this.#options;
    context.print(`${name}: ${describeVerdict(verdict, baseVersion)}`);
    if (verdict.outcome === "invalid") {
      for (const problem of verdict.problems) {
        context.print(formatProblemLine(document, problem));
      }
    }
    return verdict.outcome === "accepted" ? "done" : "refused";
  }
}

function formatProblemLine(
  document: DocumentFile,
  problem: ValidationProblem,
): string {
  return `  ${document.describeProblem(problem)}`;
}

export function describeVerdict(
  verdict: PublishVerdict,
  baseVersion: number,
): string {
  switch (verdict.outcome) {
    case "accepted":
      return `accepted as version ${verdict.version}`;
    case "conflict":
      return `refused, conflict: the file is based on version ${baseVersion} ` +
        `and the current version is ${verdict.currentVersion}`;
    case "bad_signature":
      return "refused, the signature does not match the key of the team";
    case "not_owner":
      return "refused, the team does not own the section";
    case "invalid":
      return "refused, the document would be invalid";
  }
}

/**
 * Missing keys are no failure, because a file may contain sections of other teams, unless no
 * section is done or one section was requested by name.
 */
function exitStatus(
  outcomes: readonly Outcome[],
  isSingleSection: boolean,
): number {
  if (outcomes.includes("refused")) return 1;
  const hasMissingKey = outcomes.includes("no_key");
  return hasMissingKey && (isSingleSection || !outcomes.includes("done"))
    ? 1
    : 0;
}
