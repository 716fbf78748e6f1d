/**
 * One process of a fleet. Its standard input stays open as long as the launcher lives, and the
 * process exits when it closes. Output goes straight to a file.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  readyPollMilliseconds,
  readyTimeoutMilliseconds,
  shownLogLines,
} from "./constants.ts";

export interface ManagedProcessOptions {
  id: string;
  /** Compiled program. */
  script: string;
  args: readonly string[];
  logFile: string;
  /** Answers 200 once the process is ready. */
  readyUrl: string;
}

/** A process of the fleet ended, or did not get ready in time. */
export class FleetProcessError extends RosemaryrudderError {
  constructor(message: string) {
    super("fleet_process", message);
  }
}

export class ManagedProcess {
  readonly #options: ManagedProcessOptions;
  #child: ChildProcess | undefined;
  #exit: Promise<number | undefined> = Promise.resolve(undefined);
  #isPaused = false;

  constructor(options: ManagedProcessOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  /** Process id, or undefined when the process does not run. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  start(): void {
    if (this.#child) return;
    const { script, args, logFile } = this.#options;
    const log = openSync(logFile, "a");
    const child = spawn(
      process.execPath,
      ["--enable-source-maps", script, ...args, "--exit-with-parent"],
      { stdio: ["pipe", log, log] },
    );
    closeSync(log);
    child.stdin?.on("error", () => {});
    this.#child = child;
    this.#isPaused = false;
    this.#exit = new Promise((resolve) => {
      const ended = (status: number | undefined) => {
        if (this.#child === child) this.#child = undefined;
        resolve(status);
      };
      child.once("exit", (status) => ended(status ?? undefined));
      child.once("error", () => ended(undefined));
    });
  }

  /** Waits until the ready address answers 200. */
  async waitUntilReady(
    timeoutMilliseconds = readyTimeoutMilliseconds,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
      if (!this.isRunning) {
        throw new FleetProcessError(
          `${this.id} ended before it was ready:\n${this.recentLog()}`,
        );
      }
      if (await answersOk(this.#options.readyUrl)) return;
      if (performance.now() > deadline) {
        throw new FleetProcessError(
          `${this.id} was not ready in time:\n${this.recentLog()}`,
        );
      }
      await delay(readyPollMilliseconds);
    }
  }

  pause(): void {
    this.#isPaused = this.#child?.kill("SIGSTOP") ?? false;
  }

  resume(): void {
    this.#child?.kill("SIGCONT");
    this.#isPaused = false;
  }

  /** Ends the process at once and waits until it is gone. */
  async kill(): Promise<void> {
    this.#child?.kill("SIGKILL");
    await this.#exit;
  }

  /** Asks for a graceful shutdown; gives the exit status, or undefined after a signal. */
  async terminate(): Promise<number | undefined> {
    if (this.#isPaused) this.resume();
    this.#child?.kill("SIGTERM");
    return await this.#exit;
  }

  readLog(): string {
    return readFileSync(this.#options.logFile, "utf8");
  }

  recentLog(): string {
    return this.readLog().trimEnd().split("\n").slice(-shownLogLines)
      .join("\n");
  }
}

async function answersOk(url: string): Promise<boolean> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}
