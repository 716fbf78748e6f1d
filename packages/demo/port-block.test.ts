/** Tests that fleets which start concurrently get distinct ports and none that is in use. */

import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { claimPortBlock, type PortBlock } from "./port-block.ts";

function takeAll(block: PortBlock): number[] {
  const ports: number[] = [];
  try {
    for (;;) ports.push(block.take());
  } catch (error) {
    assert.equal((error as { code?: string }).code, "ports_exhausted");
  }
  return ports;
}

test("blocks claimed with the same random number share no port and skip ports in use", async () => {
  const random = () => 0.42;
  const first = await claimPortBlock(random);
  const firstPorts = takeAll(first);
  await first.release();
  const usedPort = firstPorts[10] ?? 0;
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(usedPort, "127.0.0.1", resolve)
  );
  const blocks = await Promise.all([1, 2, 3].map(() => claimPortBlock(random)));
  const ports = blocks.flatMap(takeAll);
  assert.equal(new Set(ports).size, ports.length);
  assert.ok(!ports.includes(usedPort));
  assert.ok(ports.every((port) => port > 10_000 && port < 32_768));
  await Promise.all(blocks.map((block) => block.release()));
  server.close();
});
