/**
 * Command-line flags of a program, derived from its settings schema: each scalar field becomes a
 * kebab-case flag that overrides the settings file.
 */

import yargs, { type Options } from "yargs";
import { z } from "zod";
import { RosemaryrudderError } from "./errors.ts";
import { loadSettings } from "./settings.ts";

/** Wrong use of the command line, such as an unknown flag or a missing value. */
export class UsageError extends RosemaryrudderError {
  constructor(message: string) {
    super("usage", `${message} (see --help)`);
  }
}

export interface CommandLineOptions<Schema extends z.ZodObject> {
  name: string;
  description: string;
  version: string;
  schema: Schema;
  /** Command-line arguments without the program name. */
  args: readonly string[];
}

export interface CommandLine<Settings> {
  settings: Settings;
  /** Whether to exit when standard input closes. */
  exitsWithParent: boolean;
}

/** Parses flags and loads settings. `--help` and `--version` print and end the process. */
export async function readCommandLine<Schema extends z.ZodObject>(
  options: CommandLineOptions<Schema>,
): Promise<CommandLine<z.output<Schema>>> {
  const fields = Object.entries(options.schema.shape).flatMap(
    ([name, field]) => {
      const flag = flagForField(field as z.ZodType);
      return flag ? [{ name, flag }] : [];
    },
  );
  const flags = await yargs([...options.args])
    .scriptName(options.name)
    .usage(`$0 [--settings FILE] [flags]\n\n${options.description}`)
    .option("settings", {
      type: "string",
      requiresArg: true,
      description: "YAML file with settings; flags override it",
    })
    .option("exit-with-parent", {
      type: "boolean",
      default: false,
      description: "Exit when standard input closes",
    })
    .options(
      Object.fromEntries(
        fields.map(({ name, flag }) => [kebabCase(name), flag]),
      ),
    )
    .version(options.version)
    .strict()
    .demandCommand(0, 0)
    .wrap(100)
    .fail((message, error) => {
      throw error ?? new UsageError(message);
    })
    .parseAsync();
  const flagValues = flags as Record<string, unknown>;
  const settings = loadSettings(options.schema, {
    path: flagValues["settings"] as string | undefined,
    overrides: Object.fromEntries(
      fields.map(({ name }) => [name, flagValues[name]]),
    ),
  });
  return { settings, exitsWithParent: flagValues["exitWithParent"] === true };
}

function kebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Returns the flag for a scalar field, or undefined for lists and objects. */
function flagForField(field: z.ZodType): Options | undefined {
  const description = field.description ?? "";
  if (field instanceof z.ZodDefault || field instanceof z.ZodPrefault) {
    const inner = flagForField(field.unwrap() as z.ZodType);
    const value = String(field.def.defaultValue);
    return inner && {
      ...inner,
      description: inner.description || description,
      defaultDescription: value === "" ? "empty" : value,
    };
  }
  if (field instanceof z.ZodOptional) {
    return flagForField(field.unwrap() as z.ZodType);
  }
  if (field instanceof z.ZodPipe) return flagForField(field.in as z.ZodType);
  if (field instanceof z.ZodEnum) {
    const choices = field.options as string[];
    return { type: "string", requiresArg: true, choices, description };
  }
  if (field instanceof z.ZodNumber) {
    return { type: "number", requiresArg: true, description };
  }
  if (field instanceof z.ZodString || field instanceof z.ZodURL) {
    return { type: "string", requiresArg: true, description };
  }
  if (field instanceof z.ZodBoolean) return { type: "boolean", description };
  return undefined;
}
