/**
 * Keeps a process alive after an error that no handler caught. State that must last is in the store
 * and each request is independent, so that one failed task is no reason to cut off all others. A
 * process that fails again and again exits, so that it is started afresh. Errors that malformed
 * input raises are logged but not counted: a fresh process would get the same input.
 */

import { isInputError } from "./input-errors.ts";
import type { Logger } from "./logging.ts";

/** Errors within the window after which the process exits. */
export const maximumUncaughtErrors = 20;
export const uncaughtErrorWindowMilliseconds = 10_000;

export interface LastResortOptions {
  /** The process, or a stand-in in a test. */
  readonly events: {
    on(
      event: "uncaughtException" | "unhandledRejection",
      listener: (error: unknown) => void,
    ): unknown;
  };
  /** Ends the process. */
  readonly exit: () => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly logger: Logger;
}

export function surviveUncaughtErrors(
  { events, exit, now, logger }: LastResortOptions,
): void {
  let recent: number[] = [];
  const handle = (error: unknown) => {
    const time = now();
    const isCounted = !isInputError(error);
    recent = recent.filter((at) => time - at < uncaughtErrorWindowMilliseconds);
    if (isCounted) recent.push(time);
    logger.error("an error was not caught", {
      reason: error instanceof Error
        ? error.stack ?? error.message
        : String(error),
      isCounted,
      recentErrors: recent.length,
    });
    if (recent.length > maximumUncaughtErrors) exit();
  };
  events.on("uncaughtException", handle);
  events.on("unhandledRejection", handle);
}
