/**
 * Structured logs: one JSON object a line on standard error. Each line has a time, a level, a
 * message and the context of the program that wrote it. Keys of callers never enter a context.
 */

import "./enable-roarr.ts";
import { ROARR, Roarr } from "roarr";
import process from "node:process";

export type LogContext = Record<
  string,
  string | number | boolean | null | undefined
>;

export interface Logger {
  debug(message: string, context?: LogContext): void;
  info(message: string, context?: LogContext): void;
  warn(message: string, context?: LogContext): void;
  error(message: string, context?: LogContext): void;
  child(context: LogContext): Logger;
}

export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

const levelRank: Record<LogLevel, number> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
  silent: 99,
};

export interface LoggerOptions {
  program: string;
  level?: LogLevel;
  context?: LogContext;
}

export function createLogger(
  { program, level = "info", context = {} }: LoggerOptions,
): Logger {
  ROARR.write = (line: string) => {
    process.stderr.write(line + "\n");
  };
  const minimum = levelRank[level];
  const build = (inherited: LogContext): Logger => {
    const roarr = Roarr.child({ program, ...inherited });
    const write = (name: "debug" | "info" | "warn" | "error") => {
      return (message: string, extra: LogContext = {}) => {
        if (levelRank[name] >= minimum) roarr[name](extra, message);
      };
    };
    return {
      debug: write("debug"),
      info: write("info"),
      warn: write("warn"),
      error: write("error"),
      child: (extra) => build({ ...inherited, ...extra }),
    };
  };
  return build(context);
}

const ignore = () => {};

/** A logger that writes nothing, for tests and library use. */
export const silentLogger: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  child: () => silentLogger,
};
