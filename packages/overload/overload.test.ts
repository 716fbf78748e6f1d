import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { BlockPool, BodyBuffer } from "./body-buffer.ts";
import { ConnectionLimit } from "./connection-limit.ts";
import { MemoryGuard } from "./memory-guard.ts";
import { limitsOf } from "./resource-limits.ts";

test("a body in chunks of any size is collected unchanged, also in used blocks", () => {
  const pool = new BlockPool();
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 150_000 }), { maxLength: 6 }),
      (sizes) => {
        const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
        const buffer = new BodyBuffer(pool);
        for (const chunk of chunks) buffer.append(chunk);
        assert.ok(buffer.heldBytes >= buffer.length);
        assert.ok(buffer.take().equals(Buffer.concat(chunks)));
      },
    ),
    { seed: 5, numRuns: 100 },
  );
});

test("very small chunks are kept in few blocks and charged each", () => {
  const buffer = new BodyBuffer(new BlockPool());
  for (let index = 0; index < 10_000; index++) buffer.append(Buffer.alloc(1));
  assert.equal(buffer.heldBytes, 1 + 64 * 1024 + 10_000 * 16);
});

class FakeSocket extends EventEmitter {
  readonly remoteAddress: string;
  destroyed = false;

  constructor(remoteAddress: string) {
    super();
    this.remoteAddress = remoteAddress;
  }

  destroy() {
    this.destroyed = true;
    this.emit("close");
  }
}

test("a new connection takes the place of an unused one of the address with most", () => {
  let now = 0;
  let stalledRequests = 0;
  const limit = new ConnectionLimit({
    maximumConnections: 3,
    now: () => now,
    evictStalled: () => stalledRequests += 1,
  });
  const connect = (address: string) => {
    const socket = new FakeSocket(address);
    limit.add(socket as unknown as Socket);
    return socket;
  };
  const [idle, fresh, other] = ["a", "a", "b"].map(connect);
  limit.markActive(idle as unknown as Socket);
  limit.markIdle(idle as unknown as Socket);
  const second = connect("a");
  assert.ok(idle!.destroyed, "an idle one before one that has just come");
  now = 1_000;
  const third = connect("a");
  assert.ok(fresh!.destroyed, "one that has sent no request for a while");
  assert.equal(other!.destroyed, false);
  for (const socket of [second, third, other]) {
    limit.markActive(socket as unknown as Socket);
  }
  assert.ok(connect("a").destroyed, "all are in use");
  assert.equal(stalledRequests, 1);
  assert.equal(limit.openConnections, 3);
});

test("garbage is collected only if there is some, and many live buffers make memory tight", () => {
  let now = 0;
  const use = { rss: 150, arrayBuffers: 50_000_000 };
  const guard = new MemoryGuard({
    collectionResidentBytes: 100,
    tightResidentBytes: 140,
    heldBytesLimit: 20_000_000,
    heldBytes: () => 10_000_000,
    memoryUsage: () => use,
    collectGarbage: () => use.arrayBuffers = 11_000_000,
    now: () => now,
  });
  guard.measure();
  assert.equal(guard.collections, 1);
  assert.equal(guard.isTight, true);
  now = 1_000;
  use.arrayBuffers = 9_000_000;
  guard.measure();
  assert.equal(guard.collections, 1, "no garbage");
  assert.equal(guard.isTight, false, "the allocator can use its memory again");
});

test("limits follow from the machine, and the smallest one holds the largest usual body", () => {
  const smallest = limitsOf({
    memoryBytes: 178_000_000,
    maximumDescriptors: 4_100,
  });
  assert.ok(smallest.heldBytes >= 4 * 4 * 1024 * 1024);
  assert.ok(smallest.callerConnections >= 1_000);
  const tiny = limitsOf({ memoryBytes: 1, maximumDescriptors: 1 });
  assert.ok(tiny.heldBytes > 0 && tiny.callerConnections > 0);
  const large = limitsOf({
    memoryBytes: 602_000_000,
    maximumDescriptors: 10_250,
  });
  assert.ok(large.heldBytes > smallest.heldBytes);
  assert.ok(large.callerConnections > smallest.callerConnections);
});
