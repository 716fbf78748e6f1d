import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import {
  type KeyedStore,
  StoreFullError,
  StoreRejectedError,
  StoreUnavailableError,
} from "./keyed-store.ts";
import { RelayedStore } from "./relayed-store.ts";

const target = {
  stream: "s" as StreamName,
  partition: 0 as PartitionNumber,
};

/** Two instances: the calls that the first one relays arrive at the second one. */
function createPair(directFailure: Error, peerFailure: Error) {
  let relayedCalls = 0;
  const handlers: ((call: never) => unknown)[] = [];
  const create = (failure: Error) =>
    new RelayedStore({
      direct: {
        append: () => Promise.reject(failure),
      } as unknown as KeyedStore,
      network: {
        handle: (_: unknown, handler: (call: never) => unknown) =>
          handlers.push(handler),
        request: (_: unknown, __: unknown, call: never) => {
          relayedCalls += 1;
          return handlers[1]!(call);
        },
      } as unknown as PeerNetwork,
      relayPeers: () => ["peer" as InstanceId],
      logger: silentLogger,
    });
  const store = create(directFailure);
  create(peerFailure);
  return { store, countRelayed: () => relayedCalls };
}

test("a write that a full store refuses is not repeated through a peer", async () => {
  const full = new StoreFullError("full");
  const { store, countRelayed } = createPair(full, full);
  await assert.rejects(store.append(target, []), StoreFullError);
  assert.equal(countRelayed(), 0);
});

test("a relayed write fails as the peer's own write did, so that it is not retried without end", async () => {
  const refused = new StoreUnavailableError("refused", {
    mayHaveTakenEffect: false,
  });
  for (
    const failure of [new StoreFullError("f"), new StoreRejectedError("r")]
  ) {
    const { store, countRelayed } = createPair(refused, failure);
    const kind = failure.constructor as new () => Error;
    await assert.rejects(store.append(target, []), kind);
    assert.equal(countRelayed(), 1);
  }
});
