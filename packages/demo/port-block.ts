/**
 * Ports for the processes of one fleet. A port that was found free by listening on port 0 can be
 * given to another process before its owner listens on it, and a restarted process needs its
 * port again. So a fleet claims a block below the range that the system hands out by itself, and
 * holds the first port of the block for as long as it lives.
 */

import { createServer, type Server } from "node:net";
import { RosemaryrudderError } from "../common/errors.ts";
import { firstFleetPort, lastFleetPort, portBlockSize } from "./constants.ts";

const host = "127.0.0.1";

export class PortBlock {
  readonly #lock: Server;
  readonly #free: number[];

  constructor(lock: Server, free: number[]) {
    this.#lock = lock;
    this.#free = free;
  }

  take(): number {
    const port = this.#free.shift();
    if (port === undefined) {
      throw new RosemaryrudderError(
        "ports_exhausted",
        `a fleet can use at most ${portBlockSize - 1} ports`,
      );
    }
    return port;
  }

  release(): Promise<void> {
    return new Promise((resolve) => this.#lock.close(() => resolve()));
  }
}

/** Claims a block of ports; `random` gives a number from 0 to 1. */
export async function claimPortBlock(
  random: () => number = Math.random,
): Promise<PortBlock> {
  const count = Math.floor(
    (lastFleetPort - firstFleetPort + 1) / portBlockSize,
  );
  const offset = Math.floor(random() * count);
  for (let turn = 0; turn < count; turn++) {
    const start = firstFleetPort + (offset + turn) % count * portBlockSize;
    const lock = await tryListen(start);
    if (!lock) continue;
    const ports = Array.from(
      { length: portBlockSize - 1 },
      (_, index) => start + 1 + index,
    );
    const probes = await Promise.all(ports.map(tryListen));
    await Promise.all(
      probes.map((probe) =>
        probe && new Promise((resolve) => probe.close(resolve))
      ),
    );
    const free = ports.filter((_, index) => probes[index] !== undefined);
    if (free.length > portBlockSize / 2) return new PortBlock(lock, free);
    lock.close();
  }
  throw new RosemaryrudderError("ports_exhausted", "no block of ports is free");
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.unref();
    server.once("error", () => resolve(undefined));
    server.listen({ host, port }, () => resolve(server));
  });
}
