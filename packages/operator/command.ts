/** Commands of the operators' tool as registered objects. */

import type { Options } from "yargs";
import type { z } from "zod";
import type { SectionName } from "../common/ids.ts";
import type { LogClient } from "../log/log-client.ts";
import type { OperatorSettings } from "./settings.ts";

export interface CommandContext {
  readonly settings: OperatorSettings;
  /** Only this section is worked on, if it is given. */
  readonly section: SectionName | undefined;
  /** Writes one line of the result. */
  readonly print: (line: string) => void;
  /** Client of the log that `--log` names; throws a UsageError without it. */
  readonly openLog: () => LogClient;
}

export interface Command {
  /** Words of the command and its arguments, such as `keys create <workspace>`. */
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
  /** Checks arguments and options together. */
  flags: Flags;
  run: (context: CommandContext, flags: z.output<Flags>) => Promise<number>;
}

export function defineCommand<Flags extends z.ZodType>(
  { flags, run, options = {}, ...rest }: CommandDefinition<Flags>,
): Command {
  return {
    ...rest,
    options,
    run: (context, flagValues) => run(context, flags.parse(flagValues)),
  };
}
