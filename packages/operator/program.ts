/** Parses the command line of the operators' tool and runs one of the registered commands. */

import process from "node:process";
import yargs, { type Argv } from "yargs";
import { UsageError } from "../common/command-line.ts";
import { ValidationError } from "../common/errors.ts";
import { brandAs, type SectionName } from "../common/ids.ts";
import { exitWithError, readVersion } from "../common/program.ts";
import { HttpLogClient, type LogClient } from "../log/log-client.ts";
import type { Command, CommandContext } from "./command.ts";
import { diffCommand } from "./commands/diff.ts";
import { explainCommand } from "./commands/explain.ts";
import { fetchCommand } from "./commands/fetch.ts";
import { cancelJobCommand, listJobsCommand } from "./commands/jobs.ts";
import { createKeyCommand, withdrawKeyCommand } from "./commands/keys.ts";
import { publishCommand } from "./commands/publish.ts";
import {
  liftQuarantineCommand,
  listQuarantineCommand,
} from "./commands/quarantine.ts";
import { statusCommand } from "./commands/status.ts";
import { createTeamKeyCommand } from "./commands/teams.ts";
import { validateCommand } from "./commands/validate.ts";
import { programName } from "./constants.ts";
import { describeFileProblems } from "./document-file.ts";
import { loadOperatorSettings, type OperatorFlags } from "./settings.ts";

export const commands: readonly Command[] = [
  validateCommand,
  diffCommand,
  publishCommand,
  fetchCommand,
  statusCommand,
  createKeyCommand,
  withdrawKeyCommand,
  listJobsCommand,
  cancelJobCommand,
  createTeamKeyCommand,
  explainCommand,
  listQuarantineCommand,
  liftQuarantineCommand,
];

/** Descriptions of command groups by the first word of their commands. */
const commandGroups: Readonly<Record<string, string>> = {
  keys: "Create and withdraw keys of callers",
  jobs: "List and cancel batch jobs",
  teams: "Create the signing keys of teams",
  quarantine: "List and lift the quarantine of prompt parts",
};

export interface OperatorProgramOptions {
  args: readonly string[];
  print?: (line: string) => void;
  /** Creates the client of the log; tests replace it with a log in memory. */
  connect?: (baseUrl: string) => LogClient;
  /** Commands in addition to those of this package. */
  furtherCommands?: readonly Command[];
}

type GlobalFlags = OperatorFlags & { section?: string };

/** Runs the command that the process was started with, and sets the exit status. */
export async function runOperatorProcess(
  furtherCommands: readonly Command[] = [],
): Promise<void> {
  try {
    const args = process.argv.slice(2);
    process.exitCode = await runOperatorProgram({ args, furtherCommands });
  } catch (error) {
    exitWithError(programName, error);
  }
}

/**
 * Runs a command and returns its exit status. Problems of the document file are printed; all
 * other errors are thrown.
 */
export async function runOperatorProgram(
  options: OperatorProgramOptions,
): Promise<number> {
  const print = options.print ??
    ((line: string) => process.stdout.write(`${line}\n`));
  const openedClients: LogClient[] = [];
  const connect = options.connect ?? ((baseUrl: string) => {
    const client = new HttpLogClient({ baseUrl });
    openedClients.push(client);
    return client;
  });
  let status = 0;
  const run = async (command: Command, flags: GlobalFlags) => {
    const settings = loadOperatorSettings(flags);
    const context: CommandContext = {
      settings,
      section: flags.section === undefined
        ? undefined
        : brandAs<SectionName>(flags.section),
      print,
      openLog: () => {
        if (settings.log === undefined) {
          throw new UsageError("the address of the log is missing: --log URL");
        }
        return connect(settings.log);
      },
    };
    try {
      status = await command.run(context, flags);
    } catch (error) {
      const file = (flags as { file?: string; write?: string }).file ??
        (flags as { write?: string }).write;
      if (!(error instanceof ValidationError) || file === undefined) {
        throw error;
      }
      describeFileProblems(file, error).forEach(print);
      status = 1;
    }
  };
  try {
    const all = [...commands, ...options.furtherCommands ?? []];
    await createParser(options.args, all, run).parseAsync();
    return status;
  } finally {
    for (const client of openedClients) await (client as HttpLogClient).close();
  }
}

type RunCommand = (command: Command, flags: GlobalFlags) => Promise<void>;

function createParser(
  args: readonly string[],
  available: readonly Command[],
  run: RunCommand,
): Argv {
  const parser = yargs([...args])
    .scriptName(programName)
    .usage(
      "$0 COMMAND [flags]\n\nPublishes the document and manages its keys and jobs",
    )
    .options({
      log: {
        type: "string",
        requiresArg: true,
        description:
          "Address of the log service, such as http://127.0.0.1:7000",
      },
      "signing-key": {
        type: "string",
        array: true,
        nargs: 1,
        description: "File with a team's private key; can be repeated",
      },
      section: {
        type: "string",
        requiresArg: true,
        description: "Work on this section only",
      },
      settings: {
        type: "string",
        requiresArg: true,
        description: "YAML file with log, signingKeys and timeoutSeconds",
      },
      timeout: {
        type: "number",
        requiresArg: true,
        description: "Seconds to wait for the log",
      },
    })
    .version(readVersion())
    .strict()
    .wrap(100)
    .demandCommand(1, "a command is missing")
    .fail((message, error) => {
      throw error ?? new UsageError(message);
    });
  for (const command of available) {
    if (!groupOf(command)) addCommand(parser, command, command.usage, run);
  }
  for (const [group, description] of Object.entries(commandGroups)) {
    parser.command(group, description, (nested) => {
      for (const command of available) {
        if (groupOf(command) !== group) continue;
        const usage = command.usage.slice(group.length + 1);
        addCommand(nested, command, usage, run);
      }
      return nested.demandCommand(1, `a command of '${group}' is missing`);
    });
  }
  return parser;
}

function groupOf({ usage }: Command): string | undefined {
  const [first = ""] = usage.split(" ");
  return first in commandGroups ? first : undefined;
}

function addCommand(
  parser: Argv,
  command: Command,
  usage: string,
  run: RunCommand,
): void {
  parser.command(
    usage,
    command.description,
    (nested) => nested.options(command.options),
    (flags) => run(command, flags as GlobalFlags),
  );
}
