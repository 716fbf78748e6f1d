/** Creates and connects the limits on what an instance holds for others. */

import { DisposableStore } from "../common/disposable-store.ts";
import type { Logger } from "../common/logging.ts";
import { BlockPool } from "./body-buffer.ts";
import { storeClient } from "./client-id.ts";
import { ConnectionLimit } from "./connection-limit.ts";
import {
  type EvictionReason,
  HeldBytes,
  type HoldingKind,
} from "./held-bytes.ts";
import { MemoryGuard } from "./memory-guard.ts";
import { ReceivedResponse } from "./received-response.ts";
import type { ResourceLimits } from "./resource-limits.ts";

export interface OverloadMetrics {
  countEviction(kind: HoldingKind, reason: EvictionReason): void;
  countClosedConnection(kind: "evicted" | "refused"): void;
}

export interface OverloadControlOptions {
  readonly limits: ResourceLimits;
  readonly metrics: OverloadMetrics;
  readonly logger: Logger;
}

export class OverloadControl {
  readonly limits: ResourceLimits;
  readonly heldBytes: HeldBytes;
  readonly memory: MemoryGuard;
  readonly connections: ConnectionLimit;
  readonly blocks = new BlockPool();
  readonly #disposables = new DisposableStore();

  constructor({ limits, metrics, logger }: OverloadControlOptions) {
    this.limits = limits;
    this.memory = new MemoryGuard({
      ...limits,
      heldBytesLimit: limits.heldBytes,
      heldBytes: () => this.heldBytes.state.bufferBytes,
    });
    this.heldBytes = new HeldBytes({
      limitBytes: limits.heldBytes,
      isMemoryTight: () => this.memory.isTight,
      onExhausted: (state, largestClient) =>
        logger.warn("the budget of held bytes is exhausted", {
          ...state,
          largestClient: largestClient ?? null,
        }),
      onEviction: (kind, reason) => metrics.countEviction(kind, reason),
    });
    this.connections = new ConnectionLimit({
      maximumConnections: limits.callerConnections,
      evictStalled: () => this.heldBytes.evictStalled(),
      onClose: (kind) => metrics.countClosedConnection(kind),
    });
    this.#disposables.add(() => this.memory[Symbol.asyncDispose]());
    this.#disposables.add(() => this.heldBytes[Symbol.asyncDispose]());
  }

  start(): void {
    this.memory.start();
    this.heldBytes.start();
  }

  /** Called for each call to the store. */
  receiveResponse(): ReceivedResponse {
    return new ReceivedResponse({
      openHolding: () =>
        this.heldBytes.open({ kind: "store_response", client: storeClient }),
      recordReceived: (bytes) => this.memory.recordReceived(bytes),
    });
  }

  dispose(): Promise<void> {
    return this.#disposables.dispose();
  }
}
