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
const leftOutReportMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

interface KindBudget {
  tokens: number;
  updatedAt: number;
  leftOut: number;
}

export function createBoundedLogger(
  {
    sink = createStandardOutputSink(),
    now = () => performance.now(),
    ...options
  }: BoundedLoggerOptions,
): Logger {
  let droppedLines = 0;
  const budgets = new Map<string, KindBudget>();
  let reportedAt = now();

  const admit = (name: WriteLevel, message: string): boolean => {
    const time = now();
    const rate = linesPerSecond[name];
    let budget = budgets.get(message);
    if (!budget) {
      budget = { tokens: rate * burstSeconds, updatedAt: time, leftOut: 0 };
      budgets.set(message, budget);
    }
    const gained = (time - budget.updatedAt) * rate / millisecondsPerSecond;
    budget.tokens = Math.min(rate * burstSeconds, budget.tokens + gained);
    budget.updatedAt = time;
    if (budget.tokens < 1) {
      budget.leftOut += 1;
      return false;
    }
    budget.tokens -= 1;
    return true;
  };

  const reportLeftOut = (write: LineWriter) => {
    if (now() - reportedAt < leftOutReportMilliseconds) return;
    reportedAt = now();
    for (const [kind, budget] of budgets) {
      if (budget.leftOut === 0) continue;
      write({ kind, count: budget.leftOut }, "log lines were left out");
      budget.leftOut = 0;
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
    admit,
    afterLine: reportLeftOut,
  });
}

const standardOutput = 1;
const maximumWaitingBytes = 256 * 1024;
const gatherMilliseconds = 100;

/** Writes lines to standard output in the background, one write at a time. */
export function createStandardOutputSink(): LineSink {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const take = (): Buffer => {
    const bytes = Buffer.from(waiting.join(""));
    waiting = [];
    waitingBytes = 0;
    return bytes;
  };
  const writeOut = (bytes: Buffer): void => {
    isWriting = true;
    write(standardOutput, bytes, (error, written) => {
      isWriting = false;
      const isRetryable = error?.code === "EAGAIN";
      if (isRetryable) {
        return void setTimeout(() => writeOut(bytes), gatherMilliseconds);
      }
      // Nobody reads any more: there is no place left to report this to.
      if (error) return;
      if (written < bytes.length) return writeOut(bytes.subarray(written));
      schedule();
    });
  };
  const schedule = (): void => {
    if (timer || isWriting || waiting.length === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      if (!isWriting && waiting.length > 0) writeOut(take());
    }, gatherMilliseconds);
    timer.unref();
  };
  return {
    write(line: string): boolean {
      if (waitingBytes + line.length > maximumWaitingBytes) return false;
      waiting.push(line, "\n");
      waitingBytes += line.length + 1;
      schedule();
      return true;
    },
    flush(): void {
      if (waiting.length === 0) return;
      try {
        writeSync(standardOutput, take());
      } catch {
        // The reader has gone; the process is about to end.
      }
    },
  };
}
