import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { JobId, Offset, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import {
  type KeyedStore,
  StoreFullError,
  StoreUnavailableError,
} from "../store/keyed-store.ts";
import { ItemBodies } from "./item-bodies.ts";
import type { JobPartition } from "./job-partition.ts";

const job = "j" as JobId;
const partition = { number: 0 } as JobPartition;

/** Writes bodies that take two calls, of which the one with the given index fails. */
async function writeWithFailure(failingCall: number, failure: Error) {
  const orphaned: string[] = [];
  let calls = 0;
  const bodies = new ItemBodies({
    store: {
      append: () =>
        calls++ === failingCall
          ? Promise.reject(failure)
          : Promise.resolve(0 as Offset),
    } as unknown as KeyedStore,
    stream: "bodies" as StreamName,
    regions: { allowedFor: () => undefined },
    onCachedBytes: () => {},
    onOrphaned: (_partition, _job, keys) => orphaned.push(...keys),
    logger: silentLogger,
  });
  const contents = [Buffer.alloc(1_200_000), Buffer.alloc(1_200_000)];
  const written = bodies.write(partition, job, contents);
  await assert.rejects(written, failure.constructor as new () => Error);
  return orphaned.length;
}

test("bodies of a failed submission are reported for removal only if some may be stored", async () => {
  const full = new StoreFullError("full");
  const lost = new StoreUnavailableError("lost", { mayHaveTakenEffect: true });
  assert.equal(await writeWithFailure(0, full), 0);
  assert.equal(await writeWithFailure(1, full), 10);
  assert.equal(await writeWithFailure(0, lost), 10);
});
