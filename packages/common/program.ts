/**
 * What every long-running program shares: flags and settings, logger, signals, exit status.
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { z } from "zod";
import { readCommandLine } from "./command-line.ts";
import { RosemaryrudderError } from "./errors.ts";
import { createLogger, type Logger, type LogLevel } from "./logging.ts";

export const logLevelSchema = z.enum([
  "debug",
  "info",
  "warn",
  "error",
  "silent",
]);

/** Exit status for wrong settings, wrong flags and other errors with a clear cause. */
export const expectedErrorExitStatus = 2;

export interface RunningProgram {
  /** Shuts down gracefully; a number is the exit status, nothing means 0. */
  stop(): Promise<number | void>;
}

export interface ProgramContext<Settings> {
  settings: Settings;
  logger: Logger;
  /** Ends the program gracefully, as a SIGTERM does. */
  requestStop: () => void;
}

export interface ProgramOptions<Schema extends z.ZodObject> {
  name: string;
  description: string;
  /** Settings; a field `logLevel` sets the level of the logger. */
  schema: Schema;
  start: (context: ProgramContext<z.output<Schema>>) => Promise<RunningProgram>;
}

/** Runs a program until SIGTERM or SIGINT, then ends the process with its exit status. */
export async function runProgram<Schema extends z.ZodObject>(
  options: ProgramOptions<Schema>,
): Promise<void> {
  try {
    const { settings, exitsWithParent } = await readCommandLine({
      ...options,
      version: readVersion(),
      args: process.argv.slice(2),
    });
    if (exitsWithParent) exitWithParent();
    const level = (settings as { logLevel?: LogLevel }).logLevel ?? "info";
    const logger = createLogger({ program: options.name, level });
    let requestStop = () => {};
    const stopRequested = new Promise<void>((resolve) => requestStop = resolve);
    process.on("SIGTERM", () => requestStop());
    process.on("SIGINT", () => requestStop());
    const starting = options.start({ settings, logger, requestStop });
    const running = await Promise.race([starting, stopRequested]);
    // A program that is still starting, such as one that waits for the log, has served nothing.
    if (!running) process.exit(0);
    await stopRequested;
    logger.info("stopping");
    process.exit(await running.stop() ?? 0);
  } catch (error) {
    exitWithError(options.name, error);
  }
}

/** Writes one line for an expected error, or the stack of an unexpected one, and exits. */
export function exitWithError(program: string, error: unknown): never {
  const isExpected = error instanceof RosemaryrudderError ||
    isSystemError(error);
  const { message, stack } = error instanceof Error
    ? error
    : new Error(String(error));
  const text = isExpected ? message : stack;
  process.stderr.write(`${program}: ${text}\n`);
  process.exit(isExpected ? expectedErrorExitStatus : 1);
}

/** Errors of the operating system, such as a port in use or a file that does not exist. */
function isSystemError(error: unknown): boolean {
  return error instanceof Error && "syscall" in error && "code" in error;
}

/** Exits when standard input closes, so that the process does not outlive its launcher. */
export function exitWithParent(): void {
  const exit = () => process.exit(1);
  process.stdin.on("end", exit);
  process.stdin.on("close", exit);
  process.stdin.on("error", exit);
  process.stdin.resume();
}

/** Version in the package.json above the compiled program. */
export function readVersion(): string {
  const file = new URL("../../package.json", import.meta.url);
  return (JSON.parse(readFileSync(file, "utf8")) as { version: string })
    .version;
}
