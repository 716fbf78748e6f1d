/**
 * Structured logging: one JSON object per line on standard error. Each line has a time, a message
 * and a context with the level, the program and further fields. Keys of callers must never be
 * put into a context.
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

export type WriteLevel = Exclude<LogLevel, "silent">;
export type LineWriter = (context: LogContext, message: string) => void;

export interface LoggerHooks {
  /** Writes a serialized line, to which it adds the line break. */
  readonly write: (line: string) => void;
  /** Returns whether to write a line whose level is high enough. */
  readonly shouldWrite?: (level: WriteLevel, message: string) => boolean;
  /** Called after each line, written or not, with a function that logs a warning. */
  readonly afterLine?: (warn: LineWriter) => void;
}

/**
 * Builds a logger on Roarr; the hooks decide which lines are written and where to. Roarr has one
 * write function for the whole process: that of the logger built last.
 */
export function buildLogger(
  { program, level = "info", context = {} }: LoggerOptions,
  { write, shouldWrite = () => true, afterLine = () => {} }: LoggerHooks,
): Logger {
  ROARR.write = write;
  const minimumRank = levelRank[level];
  const build = (inherited: LogContext): Logger => {
    const roarr = Roarr.child({ program, ...inherited });
    const writer = (lineLevel: WriteLevel) => {
      return (message: string, extra: LogContext = {}) => {
        if (levelRank[lineLevel] < minimumRank) return;
        if (shouldWrite(lineLevel, message)) roarr[lineLevel](extra, message);
        afterLine((line, text) => roarr.warn(line, text));
      };
    };
    return {
      debug: writer("debug"),
      info: writer("info"),
      warn: writer("warn"),
      error: writer("error"),
      child: (extra) => build({ ...inherited, ...extra }),
    };
  };
  return build(context);
}

/** Creates a logger that writes every line to standard error. */
export function createLogger(options: LoggerOptions): Logger {
  return buildLogger(options, {
    write: (line) => process.stderr.write(line + "\n"),
  });
}

const noop = () => {};

/** A logger that writes nothing, for tests and library use. */
export const silentLogger: Logger = {
  debug: noop,
  info: noop,
  warn: noop,
  error: noop,
  child: () => silentLogger,
};
