/**
 * Runs a long-running program: reads its flags and settings, creates the logger, handles signals
 * and sets the exit status.
 */

import { existsSync, readFileSync } from "node:fs";
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

/** Exit status for expected errors, such as invalid settings, unknown flags or a port in use. */
export const expectedErrorExitStatus = 2;

export interface RunningProgram {
  /** Shuts down gracefully and resolves to the exit status, 0 by default. */
  stop(): Promise<number | void>;
}

export interface ProgramContext<Settings> {
  settings: Settings;
  logger: Logger;
  /** Starts the same graceful shutdown as a SIGTERM. */
  requestStop: () => void;
}

export interface ProgramOptions<Schema extends z.ZodObject> {
  name: string;
  description: string;
  /** Schema of the settings; a field `logLevel` sets the level of the logger. */
  schema: Schema;
  start: (context: ProgramContext<z.output<Schema>>) => Promise<RunningProgram>;
}

/** Runs a program until SIGTERM, SIGINT or a stop request, then exits with its status. */
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
    // A program that is stopped while it starts, such as one that waits for the log, has served
    // nothing yet, so there is nothing to shut down gracefully.
    if (!running) process.exit(0);
    await stopRequested;
    logger.info("stopping");
    process.exit(await running.stop() ?? 0);
  } catch (error) {
    exitWithError(options.name, error);
  }
}

/** Prints the message of an expected error, or the stack of an unexpected one, and exits. */
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

/** Whether the operating system reported the error, such as a port in use or a missing file. */
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

/** Reads the version from the package.json in the nearest folder above the compiled module. */
export function readVersion(): string {
  let folder = new URL("./", import.meta.url);
  while (!existsSync(new URL("package.json", folder))) {
    const parent = new URL("../", folder);
    if (parent.href === folder.href) throw new Error("package.json is missing");
    folder = parent;
  }
  const text = readFileSync(new URL("package.json", folder), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
