import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  InstanceId,
  Offset,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { PeerMessage } from "../protocol/peer-message.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { type KeyedStore, StoreUnavailableError } from "./keyed-store.ts";
import { RelayedStore } from "./relayed-store.ts";

const target = {
  stream: "s" as StreamName,
  partition: 0 as PartitionNumber,
};

/** A store that is turned away and whose peer replies with the given body to each call. */
function createStore(reply: unknown): RelayedStore {
  const refuse = () =>
    Promise.reject(
      new StoreUnavailableError("refused", { mayHaveTakenEffect: false }),
    );
  const network = {
    handle: () => {},
    request: (_: unknown, message: PeerMessage<unknown, unknown>) =>
      Promise.resolve().then(() => message.parseReply(reply)),
  } as unknown as PeerNetwork;
  return new RelayedStore({
    direct: {
      append: refuse,
      read: refuse,
      readNewest: refuse,
      join: refuse,
      leave: refuse,
    } as KeyedStore,
    network,
    relayPeers: () => ["peer" as InstanceId],
    logger: silentLogger,
  });
}

// Guards against a TypeError, or a position that is no number, in place of an error of the store.
test("a malformed reply of the peer is an error of the store, and the write may have taken effect", async () => {
  for (
    const reply of [
      null,
      { outcome: "done" },
      { outcome: "done", value: {} },
      { outcome: "done", value: { records: [{ key: 1 }], next: 1, end: 1 } },
      { outcome: "unavailable" },
    ]
  ) {
    const store = createStore(reply);
    const isUnavailable = (error: unknown) =>
      error instanceof StoreUnavailableError && error.mayHaveTakenEffect;
    await assert.rejects(
      store.read(target, { from: 0 as Offset }),
      isUnavailable,
    );
    await assert.rejects(store.append(target, []), isUnavailable);
  }
});

test("a sound reply of the peer is the result of the call", async () => {
  assert.equal(
    await createStore({ outcome: "done", value: 7 }).append(target, []),
    7,
  );
});
