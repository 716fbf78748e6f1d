/**
 * Rate-limited structured logging to standard output. Each message has its own token bucket;
 * lines beyond it are suppressed, counted and reported. Lines are buffered and written in the
 * background, so that a slow reader never blocks the process: when the buffer is full, lines are
 * dropped, counted and reported.
 */

import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";
import {
  buildLogger,
  type LineWriter,
  type Logger,
  type LoggerOptions,
  type WriteLevel,
} from "./logging.ts";

export interface BoundedLoggerOptions extends LoggerOptions {
  readonly sink?: LineSink;
  /** Monotonic time in milliseconds. */
  readonly now?: () => number;
}

export interface LineSink {
  /** Accepts a line without its line break; returns false if the line was dropped. */
  write(line: string): boolean;
  /** Writes buffered lines synchronously, before the process exits. */
  flush(): void;
}

/**
 * Sustained rate of each message by its level. Warnings and errors may be written more often
 * than routine lines.
 */
const linesPerSecond: Record<WriteLevel, number> = {
  debug: 5,
  info: 10,
  warn: 20,
  error: 40,
};
/** Capacity of a token bucket, as the number of seconds it takes to fill at the sustained rate. */
const burstSeconds = 4;
/** Minimum time between two reports of suppressed and dropped lines. */
const suppressionReportMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

/** Token bucket of one message. */
interface MessageBudget {
  tokens: number;
  updatedAt: number;
  /** Lines suppressed since the last report. */
  suppressedLines: number;
}

export function createBoundedLogger(
  {
    sink = createStandardOutputSink(),
    now = () => performance.now(),
    ...options
  }: BoundedLoggerOptions,
): Logger {
  let droppedLines = 0;
  const budgets = new Map<string, MessageBudget>();
  let reportedAt = now();

  const shouldWrite = (level: WriteLevel, message: string): boolean => {
    const time = now();
    const rate = linesPerSecond[level];
    let budget = budgets.get(message);
    if (!budget) {
      budget = {
        tokens: rate * burstSeconds,
        updatedAt: time,
        suppressedLines: 0,
      };
      budgets.set(message, budget);
    }
    const refill = (time - budget.updatedAt) * rate / millisecondsPerSecond;
    budget.tokens = Math.min(rate * burstSeconds, budget.tokens + refill);
    budget.updatedAt = time;
    if (budget.tokens < 1) {
      budget.suppressedLines += 1;
      return false;
    }
    budget.tokens -= 1;
    return true;
  };

  const reportSuppressed = (write: LineWriter) => {
    if (now() - reportedAt < suppressionReportMilliseconds) return;
    reportedAt = now();
    for (const [kind, budget] of budgets) {
      if (budget.suppressedLines === 0) continue;
      write({ kind, count: budget.suppressedLines }, "log lines were left out");
      budget.suppressedLines = 0;
    }
    if (droppedLines === 0) return;
    write(
      { count: droppedLines },
      "log lines were dropped; the reader is slow",
    );
    droppedLines = 0;
  };

  return buildLogger(options, {
    write: (line) => {
      if (!sink.write(line)) droppedLines += 1;
    },
    shouldWrite,
    afterLine: reportSuppressed,
  });
}

const standardOutputDescriptor = 1;
/** Limit of the buffer; lengths are counted in UTF-16 code units. */
const maximumBufferedBytes = 256 * 1024;
/** Time for which lines are collected before a write, and before a write is retried. */
const writeDelayMilliseconds = 100;

/** Writes lines to standard output in the background, one write at a time. */
export function createStandardOutputSink(): LineSink {
  let bufferedLines: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const takeBuffered = (): Buffer => {
    const bytes = Buffer.from(bufferedLines.join(""));
    bufferedLines = [];
    bufferedBytes = 0;
    return bytes;
  };
  const writeOut = (bytes: Buffer): void => {
    isWriting = true;
    write(standardOutputDescriptor, bytes, (error, written) => {
      isWriting = false;
      const isRetryable = error?.code === "EAGAIN";
      if (isRetryable) {
        return void setTimeout(() => writeOut(bytes), writeDelayMilliseconds);
      }
      // Standard output can no longer be written to, so the error cannot be reported either.
      if (error) return;
      if (written < bytes.length) return writeOut(bytes.subarray(written));
      schedule();
    });
  };
  const schedule = (): void => {
    if (timer || isWriting || bufferedLines.length === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      if (!isWriting && bufferedLines.length > 0) writeOut(takeBuffered());
    }, writeDelayMilliseconds);
    timer.unref();
  };
  return {
    write(line: string): boolean {
      if (bufferedBytes + line.length > maximumBufferedBytes) return false;
      bufferedLines.push(line, "\n");
      bufferedBytes += line.length + 1;
      schedule();
      return true;
    },
    flush(): void {
      if (bufferedLines.length === 0) return;
      try {
        writeSync(standardOutputDescriptor, takeBuffered());
      } catch {
        // Standard output can no longer be written to, and the process is about to exit.
      }
    },
  };
}
