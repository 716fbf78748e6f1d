/**
 * Reconciles the models loaded by engines with those in the document. The coordinator of an
 * engine reads which models the engine has loaded and orders it to load the missing ones. At most
 * one check or order per engine is in progress, and failed checks are retried with back-off.
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { type Clock, systemClock } from "../common/clock.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  brandAs,
  type ModelName,
  type RequestId,
  type UpstreamName,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import {
  maximumModelCheckBackOffMilliseconds,
  maximumModelListBytes,
  minimumModelCheckIntervalMilliseconds,
  modelCheckIntervalMilliseconds,
  modelCheckTimeoutMilliseconds,
} from "./constants.ts";
import { EngineOrderError, type EngineOrders } from "./engine-orders.ts";
import type { UpstreamCaller } from "./upstream-caller.ts";

export interface EngineModelReconcilerOptions {
  control: ControlView;
  caller: UpstreamCaller;
  /** Must be created before the reconciler, so that it is notified of each change first. */
  orders: Pick<EngineOrders, "isCoordinator" | "whenReady" | "issue">;
  /** Whether the engine may get new requests. */
  isLive: (engine: UpstreamName) => boolean;
  /** Returns a number from 0 to 1, the jitter that spreads the retries for several engines. */
  random: () => number;
  logger?: Logger;
  clock?: Clock;
  timers?: Timers;
}

interface EngineEntry {
  readonly name: UpstreamName;
  /** The models of the engine in the document. */
  desiredModels: readonly ModelName[];
  /** Monotonic milliseconds of the last check. */
  checkedAt: number;
  /** Consecutive failed checks. */
  failures: number;
  /** Whether a check is in progress. */
  isRunning: boolean;
  /** Whether the desired models have changed since the last check began. */
  needsCheck: boolean;
  cancelTimer: () => void;
}

const modelListSchema = z.object({
  data: z.array(z.object({ id: z.string() })),
});

export class EngineModelReconciler {
  readonly #options: Required<EngineModelReconcilerOptions>;
  /** The engines that this instance coordinates. */
  readonly #entries = new Map<UpstreamName, EngineEntry>();
  #stopListening: () => void = () => {};

  constructor(options: EngineModelReconcilerOptions) {
    this.#options = {
      logger: silentLogger,
      clock: systemClock,
      timers: systemTimers,
      ...options,
    };
  }

  start(): void {
    const { control } = this.#options;
    this.#stopListening = control.onChange((state) => this.#update(state));
    this.#update(control.state);
  }

  stop(): void {
    this.#stopListening();
    for (const name of [...this.#entries.keys()]) this.#removeEntry(name);
  }

  #update({ configuration }: ControlState): void {
    const { orders } = this.#options;
    for (const name of [...this.#entries.keys()]) {
      const isKept = configuration.upstreams.has(name) &&
        orders.isCoordinator(name);
      if (!isKept) this.#removeEntry(name);
    }
    for (const { name, kind, models } of configuration.upstreams.values()) {
      if (kind !== "engine" || !orders.isCoordinator(name)) continue;
      const existing = this.#entries.get(name);
      if (existing && haveSameItems(existing.desiredModels, models)) continue;
      const entry = existing ?? createEntry(name);
      this.#entries.set(name, entry);
      entry.desiredModels = models;
      entry.failures = 0;
      entry.needsCheck = true;
      if (!entry.isRunning) this.#schedule(entry, 0);
    }
  }

  #removeEntry(name: UpstreamName): void {
    this.#entries.get(name)?.cancelTimer();
    this.#entries.delete(name);
  }

  #isCurrent(entry: EngineEntry): boolean {
    return this.#entries.get(entry.name) === entry;
  }

  /** Schedules a check after the delay, but not before the minimum interval has passed. */
  #schedule(entry: EngineEntry, milliseconds: number): void {
    const { clock, timers } = this.#options;
    const minimumDelay = entry.checkedAt +
      minimumModelCheckIntervalMilliseconds -
      clock.monotonicNow();
    entry.cancelTimer();
    entry.cancelTimer = timers.after(
      Math.max(milliseconds, minimumDelay),
      () => void this.#runCheck(entry),
    );
  }

  async #runCheck(entry: EngineEntry): Promise<void> {
    entry.isRunning = true;
    entry.needsCheck = false;
    let nextDelay = modelCheckIntervalMilliseconds;
    try {
      if (this.#options.isLive(entry.name)) await this.#reconcile(entry);
      else nextDelay = minimumModelCheckIntervalMilliseconds;
      entry.failures = 0;
    } catch (error) {
      nextDelay = this.#recordFailure(entry, error);
    }
    entry.isRunning = false;
    if (this.#isCurrent(entry)) {
      this.#schedule(entry, entry.needsCheck ? 0 : nextDelay);
    }
  }

  async #reconcile(entry: EngineEntry): Promise<void> {
    const { orders, clock } = this.#options;
    await orders.whenReady(entry.name);
    entry.checkedAt = clock.monotonicNow();
    entry.needsCheck = false;
    const loaded = await this.#readLoadedModels(entry.name);
    let failure: unknown;
    for (const model of entry.desiredModels) {
      // The document and the ownership may have changed during the previous orders.
      if (!this.#isCurrent(entry)) return;
      if (loaded.has(model) || !entry.desiredModels.includes(model)) continue;
      try {
        await this.#load(entry, model);
      } catch (error) {
        if (isNotCoordinatorError(error)) throw error;
        // A model that cannot be loaded must not prevent the other models from being loaded.
        failure ??= error;
      }
    }
    if (failure !== undefined) throw failure;
  }

  async #load({ name }: EngineEntry, model: ModelName): Promise<void> {
    const { orders, logger } = this.#options;
    logger.info("ordering an engine to load a model", { engine: name, model });
    await orders.issue(name, { kind: "load_model", model });
    logger.info("an engine has loaded a model", { engine: name, model });
  }

  async #readLoadedModels(name: UpstreamName): Promise<ReadonlySet<string>> {
    const response = await this.#options.caller.call({
      upstream: name,
      method: "GET",
      path: "/v1/models",
      headers: { accept: "application/json" },
      requestId: brandAs<RequestId>(randomUUID()),
      isRepeatable: true,
      signal: AbortSignal.timeout(modelCheckTimeoutMilliseconds),
    });
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of response.body) {
      bytes += chunk.byteLength;
      if (bytes > maximumModelListBytes) {
        throw modelListError(
          name,
          `is larger than ${maximumModelListBytes} bytes`,
        );
      }
      chunks.push(chunk);
    }
    if (response.status !== 200) {
      throw modelListError(name, `was returned with status ${response.status}`);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const { data } = modelListSchema.parse(JSON.parse(text));
    return new Set(data.map(({ id }) => id));
  }

  /** Logs the failure and returns the milliseconds until the next check. */
  #recordFailure(entry: EngineEntry, error: unknown): number {
    const { logger, random } = this.#options;
    const reason = error instanceof Error ? error.message : String(error);
    if (isNotCoordinatorError(error)) {
      // The ownership may be lost, or only the freshness of the control state; which one is not
      // known yet.
      logger.info("orders to an engine are suspended", {
        engine: entry.name,
        reason,
      });
      return minimumModelCheckIntervalMilliseconds;
    }
    if (!this.#isCurrent(entry)) return 0;
    entry.failures += 1;
    const backOff = Math.min(
      maximumModelCheckBackOffMilliseconds,
      minimumModelCheckIntervalMilliseconds * 2 ** entry.failures,
    );
    const delay = Math.round(backOff * (1 + random()) / 2);
    logger.warn("checking or loading the models of an engine failed", {
      engine: entry.name,
      reason,
      repeatedAfterMilliseconds: delay,
    });
    return delay;
  }
}

function createEntry(name: UpstreamName): EngineEntry {
  return {
    name,
    desiredModels: [],
    checkedAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    isRunning: false,
    needsCheck: false,
    cancelTimer: () => {},
  };
}

function haveSameItems<Item>(
  left: readonly Item[],
  right: readonly Item[],
): boolean {
  return left.length === right.length &&
    left.every((item) => right.includes(item));
}

function isNotCoordinatorError(error: unknown): boolean {
  return error instanceof EngineOrderError && error.code === "not_coordinator";
}

function modelListError(
  name: UpstreamName,
  reason: string,
): RosemaryrudderError {
  return new RosemaryrudderError(
    "models_unreadable",
    `the model list of engine ${name} ${reason}`,
  );
}
