/** Interface of the commands of the operators' tool, and the function that defines one. */

import type { Options } from "yargs";
import type { z } from "zod";
import type { SectionName } from "../common/ids.ts";
import type { LogClient } from "../log/log-client.ts";
import type { OperatorSettings } from "./settings.ts";

export interface CommandContext {
  readonly settings: OperatorSettings;
  /** Section that the command is restricted to, if any. */
  readonly section: SectionName | undefined;
  /** Prints one line of output. */
  readonly print: (line: string) => void;
  /** Opens the log at the address in the settings; throws a UsageError if there is none. */
  readonly openLog: () => LogClient;
}

export interface Command {
  /** Command and its positional arguments, such as `keys create <workspace>`. */
  readonly usage: string;
  readonly description: string;
  readonly options: Readonly<Record<string, Options>>;
  /** Returns the exit status. */
  readonly run: (context: CommandContext, flags: unknown) => Promise<number>;
}

export interface CommandDefinition<Flags extends z.ZodType> {
  usage: string;
  description: string;
  options?: Record<string, Options>;
  /** Schema of the positional arguments and options. */
  flags: Flags;
  run: (context: CommandContext, flags: z.output<Flags>) => Promise<number>;
}

/** Defines a command whose arguments and options are checked before it runs. */
export function defineCommand<Flags extends z.ZodType>(
  { flags, run, options = {}, ...rest }: CommandDefinition<Flags>,
): Command {
  return {
    ...rest,
    options,
    run: (context, flagValues) => run(context, flags.parse(flagValues)),
  };
}
