/**
 * Command `explain`: prints the log lines of all instances about one request, job or item,
 * sorted by time. A line may have other text before its JSON, such as the time and the name of
 * the instance.
 */

import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { z } from "zod";
import { UsageError } from "../../common/command-line.ts";
import { defineCommand } from "../command.ts";

interface MatchingLine {
  /** Milliseconds since the Unix epoch. */
  readonly time: number;
  /** Text before the JSON. */
  readonly prefix: string;
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

const lineSchema = z.object({
  time: z.number(),
  message: z.string(),
  context: z.record(z.string(), z.unknown()),
});

/** Fields of the context that hold the id of the request, job or item. */
const subjectFields = ["request", "job", "item"];
/** Fields of the context that are not printed, because they do not describe the subject. */
const omittedFields = new Set(["program", "logLevel"]);

export const explainCommand = defineCommand({
  usage: "explain <id> <files..>",
  description: "Print what log files say about a request, a job or an item",
  options: {},
  flags: z.object({ id: z.string(), files: z.array(z.string()).min(1) }),
  run: async (context, { id, files }) => {
    const matches: MatchingLine[] = [];
    for (const file of files) {
      for await (const line of readLines(file)) {
        const parsed = parseLine(line, id);
        if (parsed) matches.push(parsed);
      }
    }
    matches.sort((left, right) => left.time - right.time);
    for (const line of matches) context.print(describeLine(line));
    if (matches.length === 0) context.print(`no line mentions ${id}`);
    return matches.length > 0 ? 0 : 1;
  },
});

async function* readLines(file: string): AsyncGenerator<string> {
  const stream = createReadStream(file);
  try {
    yield* createInterface({ input: stream, crlfDelay: Infinity });
  } catch (error) {
    throw new UsageError(`cannot read ${file}: ${String(error)}`);
  }
}

/** Returns undefined for lines that are not log lines or are about another subject. */
function parseLine(line: string, id: string): MatchingLine | undefined {
  const start = line.indexOf('{"context"');
  if (start < 0 || !line.includes(id)) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    // The line is incomplete, because its process ended while it was being written.
    return undefined;
  }
  const result = lineSchema.safeParse(value);
  if (!result.success) return undefined;
  const { time, message, context } = result.data;
  if (!subjectFields.some((field) => context[field] === id)) return undefined;
  return { time, prefix: line.slice(0, start).trim(), message, context };
}

function describeLine(
  { time, prefix, message, context }: MatchingLine,
): string {
  const fields = Object.entries(context)
    .filter(([name, value]) => !omittedFields.has(name) && value !== null)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [new Date(time).toISOString(), prefix, `${message}:`, ...fields]
    .filter((part) => part !== "").join(" ");
}
