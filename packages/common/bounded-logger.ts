/**
 * Structured logs of bounded volume on standard output. Each kind of line, told apart by its
 * message, has a budget; what goes beyond it is counted and reported. Lines are collected and
 * written in the background, so that a slow reader never blocks the process: when too much is
 * waiting, lines are dropped and counted.
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
  readonly now?: () => number;
}

export interface LineSink {
  /** Returns false if the line was dropped. */
  write(line: string): boolean;
  /** Writes what is waiting before the process ends. */
  flush(): void;
}

/** Lines per second and in a burst of each kind; failures get more than routine lines. */
const linesPerSecond: Record<WriteLevel, number> = {
  debug: 5,
  info: 10,
  warn: 20,
  error: 40,
};
const burstSeconds = 4;
const suppressionReportMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

interface MessageBudget {
  tokens: number;
  updatedAt: number;
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
const maximumBufferedBytes = 256 * 1024;
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
      // Nobody reads any more: there is no place left to report this to.
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
        // The reader has gone; the process is about to end.
      }
    },
  };
}
