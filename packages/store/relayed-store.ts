/**
 * Calls the store through a peer while the store refuses this instance but serves others. Only
 * `join`, which is called at regular intervals, always tries the direct call first and so detects
 * when direct calls work again. If the last direct `join` failed, all other calls go through a
 * peer; otherwise they are made directly, and through a peer only if that fails.
 *
 * An append whose outcome is unknown is not retried here: whether and how to retry it depends on
 * what it writes.
 */

import { PeerUnavailableError } from "../common/errors.ts";
import type { InstanceId, Offset } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { relayTimeoutMilliseconds } from "./constants.ts";
import {
  type GroupAssignment,
  type GroupRequest,
  type KeyedEntry,
  type KeyedStore,
  type NewestPage,
  OffsetOutOfRangeError,
  type ReadOptions,
  type ReadResult,
  type RelayRules,
  StoreFullError,
  StoreRejectedError,
  StoreUnavailableError,
  type StreamPartition,
} from "./keyed-store.ts";
import {
  relayCallSchema,
  relayReplySchema,
  relayValueSchemas,
} from "./relay-schemas.ts";

type RelayCall =
  | {
    readonly call: "append";
    readonly target: StreamPartition;
    readonly entries: readonly KeyedEntry[];
  }
  | {
    readonly call: "read";
    readonly target: StreamPartition;
    readonly options: Omit<ReadOptions, "signal" | "allowedRegions">;
  }
  | {
    readonly call: "newest";
    readonly target: StreamPartition;
    readonly afterKey: string | undefined;
  }
  | { readonly call: "join"; readonly request: GroupRequest }
  | {
    readonly call: "leave";
    readonly group: string;
    readonly member: InstanceId;
  };

type RelayReply =
  | { readonly outcome: "done"; readonly value: unknown }
  | {
    readonly outcome: "history_lost" | "full" | "rejected";
    readonly message: string;
  }
  | {
    readonly outcome: "unavailable";
    readonly message: string;
    readonly mayHaveTakenEffect: boolean;
  };

const relayMessage = definePeerMessage<RelayCall, RelayReply>(
  "store-call",
  (body) => relayCallSchema.parse(body) as unknown as RelayCall,
  (body) => relayReplySchema.parse(body),
);

export interface RelayedStoreOptions {
  readonly direct: KeyedStore;
  readonly network: PeerNetwork;
  /** Peers that can reach the store and are in one of the regions, the preferred one first. */
  readonly relayPeers: (
    allowedRegions: readonly string[] | undefined,
  ) => readonly InstanceId[];
  readonly logger: Logger;
}

export class RelayedStore implements KeyedStore {
  readonly #options: RelayedStoreOptions;
  #isDirectFailing = false;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
    options.network.handle(
      relayMessage,
      (call) => this.#handleRelayedCall(call),
    );
  }

  /** True if the last direct `join` failed. */
  get isDirectFailing(): boolean {
    return this.#isDirectFailing;
  }

  append(
    target: StreamPartition,
    entries: readonly KeyedEntry[],
    rules: RelayRules = {},
  ): Promise<Offset> {
    const call: RelayCall = { call: "append", target, entries };
    return this.#callWithFallback(call, rules) as Promise<Offset>;
  }

  read(
    target: StreamPartition,
    { signal, allowedRegions, ...options }: ReadOptions,
  ): Promise<ReadResult> {
    const call: RelayCall = { call: "read", target, options };
    return this.#callWithFallback(call, {
      signal,
      allowedRegions,
    }) as Promise<ReadResult>;
  }

  readNewest(
    target: StreamPartition,
    afterKey?: string,
    rules: RelayRules = {},
  ): Promise<NewestPage> {
    const call: RelayCall = { call: "newest", target, afterKey };
    return this.#callWithFallback(call, rules) as Promise<NewestPage>;
  }

  async join(request: GroupRequest): Promise<GroupAssignment> {
    try {
      const assignment = await this.#options.direct.join(request);
      this.#setDirectStatus(undefined);
      return assignment;
    } catch (error) {
      if (!isUnavailable(error)) throw error;
      this.#setDirectStatus(error);
      return await this.#relay(
        { call: "join", request },
        error,
      ) as GroupAssignment;
    }
  }

  async leave(group: string, member: InstanceId): Promise<void> {
    await this.#callWithFallback({ call: "leave", group, member });
  }

  async #callWithFallback(
    call: RelayCall,
    { signal, allowedRegions }: Pick<
      ReadOptions,
      "signal" | "allowedRegions"
    > = {},
  ): Promise<unknown> {
    const { relayPeers } = this.#options;
    if (this.#isDirectFailing && relayPeers(allowedRegions).length > 0) {
      return await this.#relay(call, undefined, allowedRegions);
    }
    try {
      return await callStore(this.#options.direct, call, signal);
    } catch (error) {
      // A store that is full for this instance is full for its peers too.
      if (error instanceof StoreFullError) throw error;
      if (signal?.aborted || !isUnavailable(error)) throw error;
      if (call.call === "append" && error.mayHaveTakenEffect) throw error;
      return await this.#relay(call, error, allowedRegions);
    }
  }

  /** Makes the call through a peer; throws the failure of the direct call if there is no peer. */
  async #relay(
    call: RelayCall,
    failure: StoreUnavailableError | undefined,
    allowedRegions?: readonly string[],
  ): Promise<never> {
    const { network, relayPeers } = this.#options;
    const [peer] = relayPeers(allowedRegions);
    const mayHaveTakenEffect = failure?.mayHaveTakenEffect ?? false;
    if (!peer) {
      throw failure ??
        new StoreUnavailableError("no peer can reach the store", {
          mayHaveTakenEffect: false,
        });
    }
    let reply: RelayReply;
    let value: unknown;
    try {
      reply = await network.request(peer, relayMessage, call, {
        deadlineMilliseconds: relayTimeoutMilliseconds +
          (call.call === "read" ? call.options.waitMilliseconds ?? 0 : 0),
      });
      if (reply.outcome === "done") {
        value = relayValueSchemas[call.call].parse(reply.value);
      }
    } catch (cause) {
      // A message that begins with "no " (no connection, no known address) means that the call
      // was not sent.
      const mayHaveBeenSent = !(cause instanceof PeerUnavailableError) ||
        !cause.message.startsWith("no ");
      throw new StoreUnavailableError(
        `relayed through ${peer}: ${String(cause)}`,
        {
          mayHaveTakenEffect: mayHaveTakenEffect || mayHaveBeenSent,
          cause,
        },
      );
    }
    switch (reply.outcome) {
      case "done":
        return value as never;
      case "history_lost":
        throw new OffsetOutOfRangeError(reply.message);
      case "full":
        throw new StoreFullError(reply.message);
      case "rejected":
        throw new StoreRejectedError(reply.message);
      case "unavailable":
        throw new StoreUnavailableError(
          `relayed through ${peer}: ${reply.message}`,
          {
            mayHaveTakenEffect: mayHaveTakenEffect || reply.mayHaveTakenEffect,
          },
        );
    }
  }

  /** Makes a call for a peer, always directly, so that calls are not relayed in a loop. */
  async #handleRelayedCall(call: RelayCall): Promise<RelayReply> {
    try {
      return {
        outcome: "done",
        value: await callStore(this.#options.direct, call) ?? null,
      };
    } catch (error) {
      if (error instanceof OffsetOutOfRangeError) {
        return { outcome: "history_lost", message: error.message };
      }
      if (error instanceof StoreFullError) {
        return { outcome: "full", message: error.message };
      }
      if (error instanceof StoreRejectedError) {
        return { outcome: "rejected", message: error.message };
      }
      return {
        outcome: "unavailable",
        message: String(error),
        mayHaveTakenEffect: isUnavailable(error) && error.mayHaveTakenEffect,
      };
    }
  }

  #setDirectStatus(failure: StoreUnavailableError | undefined): void {
    const isFailing = failure !== undefined;
    if (isFailing === this.#isDirectFailing) return;
    this.#isDirectFailing = isFailing;
    const { logger, relayPeers } = this.#options;
    if (failure) {
      logger.warn("the store does not serve this instance", {
        reason: failure.message,
        helpers: relayPeers(undefined).length,
      });
    } else logger.info("the store serves this instance again");
  }
}

function isUnavailable(error: unknown): error is StoreUnavailableError {
  return error instanceof StoreUnavailableError;
}

async function callStore(
  store: KeyedStore,
  call: RelayCall,
  signal?: AbortSignal,
): Promise<unknown> {
  switch (call.call) {
    case "append":
      return await store.append(call.target, call.entries.map(normalizeEntry));
    case "read":
      return await store.read(call.target, { ...call.options, signal });
    case "newest":
      return await store.readNewest(call.target, call.afterKey ?? undefined);
    case "join":
      return await store.join(call.request);
    case "leave":
      return await store.leave(call.group, call.member);
  }
}

/** Restores `undefined` values, which may arrive from a peer as null. */
function normalizeEntry({ key, value }: KeyedEntry): KeyedEntry {
  return { key, value: value ?? undefined };
}
