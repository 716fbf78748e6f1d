/**
 * Starts, pauses and stops one process of a fleet. The launcher holds the process's standard input
 * open, and the process exits when it closes. Its output is written directly to a file.
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
  /** Path of the compiled program. */
  script: string;
  args: readonly string[];
  logFile: string;
  /** URL that answers 200 once the process is ready. */
  readyUrl: string;
}

/** A process of the fleet exited before it was ready, or was not ready in time. */
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
      const onEnd = (status: number | undefined) => {
        if (this.#child === child) this.#child = undefined;
        resolve(status);
      };
      child.once("exit", (status) => onEnd(status ?? undefined));
      child.once("error", () => onEnd(undefined));
    });
  }

  /** Waits until the readiness URL answers 200. */
  async waitUntilReady(
    timeoutMilliseconds = readyTimeoutMilliseconds,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
      if (!this.isRunning) {
        throw new FleetProcessError(
          `${this.id} exited before it was ready:\n${this.recentLog()}`,
        );
      }
      if (await isReady(this.#options.readyUrl)) return;
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

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    this.#child?.kill("SIGKILL");
    await this.#exit;
  }

  /** Starts a graceful shutdown; resolves with the exit status, or undefined after a signal. */
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

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}
