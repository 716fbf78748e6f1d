/**
 * Reaches the store through a peer while the store refuses this instance and serves others. One
 * kind of call, the regular join of the group, always tries the direct way first and so finds
 * out when it works again; all other calls follow what it found.
 *
 * An append whose outcome is unknown is not repeated here: whether and how to repeat it depends
 * on what it writes.
 */

import * as z from "zod/mini";
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
  StoreUnavailableError,
  type StreamPartition,
} from "./keyed-store.ts";

type RelayCall =
  | {
    readonly call: "append";
    readonly target: StreamPartition;
    readonly entries: readonly KeyedEntry[];
  }
  | {
    readonly call: "read";
    readonly target: StreamPartition;
    readonly options: Omit<ReadOptions, "signal">;
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
  | { readonly outcome: "history_lost"; readonly message: string }
  | {
    readonly outcome: "unavailable";
    readonly message: string;
    readonly mayHaveTakenEffect: boolean;
  };

const callSchema = z.looseObject({
  call: z.enum(["append", "read", "newest", "join", "leave"]),
});
const replySchema = z.looseObject({
  outcome: z.enum(["done", "history_lost", "unavailable"]),
});

const relayMessage = definePeerMessage<RelayCall, RelayReply>(
  "store-call",
  (body) => callSchema.parse(body) as unknown as RelayCall,
  (body) => replySchema.parse(body) as unknown as RelayReply,
);

export interface RelayedStoreOptions {
  readonly direct: KeyedStore;
  readonly network: PeerNetwork;
  /** Peers that reach the store, the preferred one first. */
  readonly helpers: () => readonly InstanceId[];
  readonly logger: Logger;
}

export class RelayedStore implements KeyedStore {
  readonly #options: RelayedStoreOptions;
  #isDirectFailing = false;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
    options.network.handle(relayMessage, (call) => this.#serve(call));
  }

  /** The store does not serve this instance directly. */
  get isDirectFailing(): boolean {
    return this.#isDirectFailing;
  }

  append(
    target: StreamPartition,
    entries: readonly KeyedEntry[],
  ): Promise<Offset> {
    return this.#run({ call: "append", target, entries }) as Promise<Offset>;
  }

  read(
    target: StreamPartition,
    { signal, ...options }: ReadOptions,
  ): Promise<ReadResult> {
    const call: RelayCall = { call: "read", target, options };
    return this.#run(call, signal) as Promise<ReadResult>;
  }

  readNewest(target: StreamPartition, afterKey?: string): Promise<NewestPage> {
    return this.#run({ call: "newest", target, afterKey }) as Promise<
      NewestPage
    >;
  }

  async join(request: GroupRequest): Promise<GroupAssignment> {
    try {
      const assignment = await this.#options.direct.join(request);
      this.#noteDirect(undefined);
      return assignment;
    } catch (error) {
      if (!isUnavailable(error)) throw error;
      this.#noteDirect(error);
      return await this.#relay(
        { call: "join", request },
        error,
      ) as GroupAssignment;
    }
  }

  async leave(group: string, member: InstanceId): Promise<void> {
    await this.#run({ call: "leave", group, member });
  }

  async #run(call: RelayCall, signal?: AbortSignal): Promise<unknown> {
    if (this.#isDirectFailing && this.#options.helpers().length > 0) {
      return await this.#relay(call, undefined);
    }
    try {
      return await execute(this.#options.direct, call, signal);
    } catch (error) {
      if (signal?.aborted || !isUnavailable(error)) throw error;
      if (call.call === "append" && error.mayHaveTakenEffect) throw error;
      return await this.#relay(call, error);
    }
  }

  /** Makes the call through a peer; without one, the own failure stands. */
  async #relay(
    call: RelayCall,
    failure: StoreUnavailableError | undefined,
  ): Promise<never> {
    const { network, helpers } = this.#options;
    const [helper] = helpers();
    const mayHaveTakenEffect = failure?.mayHaveTakenEffect ?? false;
    if (!helper) {
      throw failure ?? new StoreUnavailableError("no peer reaches the store", {
        mayHaveTakenEffect: false,
      });
    }
    let reply: RelayReply;
    try {
      reply = await network.request(helper, relayMessage, call, {
        deadlineMilliseconds: relayTimeoutMilliseconds +
          (call.call === "read" ? call.options.waitMilliseconds ?? 0 : 0),
      });
    } catch (cause) {
      const wasSent = !(cause instanceof PeerUnavailableError) ||
        !cause.message.startsWith("no ");
      throw new StoreUnavailableError(`through ${helper}: ${String(cause)}`, {
        mayHaveTakenEffect: mayHaveTakenEffect || wasSent,
        cause,
      });
    }
    switch (reply.outcome) {
      case "done":
        return reply.value as never;
      case "history_lost":
        throw new OffsetOutOfRangeError(reply.message);
      case "unavailable":
        throw new StoreUnavailableError(`through ${helper}: ${reply.message}`, {
          mayHaveTakenEffect: mayHaveTakenEffect || reply.mayHaveTakenEffect,
        });
    }
  }

  /** Carries out a call for a peer, only on the direct way, so that no call goes in a circle. */
  async #serve(call: RelayCall): Promise<RelayReply> {
    try {
      return {
        outcome: "done",
        value: await execute(this.#options.direct, call) ?? null,
      };
    } catch (error) {
      if (error instanceof OffsetOutOfRangeError) {
        return { outcome: "history_lost", message: error.message };
      }
      return {
        outcome: "unavailable",
        message: String(error),
        mayHaveTakenEffect: isUnavailable(error) && error.mayHaveTakenEffect,
      };
    }
  }

  #noteDirect(failure: StoreUnavailableError | undefined): void {
    const isFailing = failure !== undefined;
    if (isFailing === this.#isDirectFailing) return;
    this.#isDirectFailing = isFailing;
    const { logger, helpers } = this.#options;
    if (failure) {
      logger.warn("the store does not serve this instance", {
        reason: failure.message,
        helpers: helpers().length,
      });
    } else logger.info("the store serves this instance again");
  }
}

function isUnavailable(error: unknown): error is StoreUnavailableError {
  return error instanceof StoreUnavailableError;
}

async function execute(
  store: KeyedStore,
  call: RelayCall,
  signal?: AbortSignal,
): Promise<unknown> {
  switch (call.call) {
    case "append":
      return await store.append(call.target, call.entries.map(plainEntry));
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

/** An absent value may arrive as null. */
function plainEntry({ key, value }: KeyedEntry): KeyedEntry {
  return { key, value: value ?? undefined };
}
