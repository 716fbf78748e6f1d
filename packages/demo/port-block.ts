/**
 * Reserves ports for the processes of one fleet. A free port found by listening on port 0 can be
 * assigned to another process before its owner listens on it, and a restarted process needs the
 * same port again. Therefore a fleet claims a block below the system's ephemeral range, and
 * listens on the first port of the block during its whole lifetime to mark the block as taken.
 */

import { createServer, type Server } from "node:net";
import { RosemaryrudderError } from "../common/errors.ts";
import { firstFleetPort, lastFleetPort, portBlockSize } from "./constants.ts";

const host = "127.0.0.1";

export class PortBlock {
  readonly #reservation: Server;
  readonly #freePorts: number[];

  constructor(reservation: Server, freePorts: number[]) {
    this.#reservation = reservation;
    this.#freePorts = freePorts;
  }

  take(): number {
    const port = this.#freePorts.shift();
    if (port === undefined) {
      throw new RosemaryrudderError(
        "ports_exhausted",
        `a fleet can use at most ${portBlockSize - 1} ports`,
      );
    }
    return port;
  }

  release(): Promise<void> {
    return new Promise((resolve) => this.#reservation.close(() => resolve()));
  }
}

/** Claims a block of ports, starting the search at a random one; `random` is in [0, 1). */
export async function claimPortBlock(
  random: () => number = Math.random,
): Promise<PortBlock> {
  const count = Math.floor(
    (lastFleetPort - firstFleetPort + 1) / portBlockSize,
  );
  const offset = Math.floor(random() * count);
  for (let attempt = 0; attempt < count; attempt++) {
    const start = firstFleetPort + (offset + attempt) % count * portBlockSize;
    const reservation = await tryListen(start);
    if (!reservation) continue;
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
    const freePorts = ports.filter((_, index) => probes[index] !== undefined);
    if (freePorts.length > portBlockSize / 2) {
      return new PortBlock(reservation, freePorts);
    }
    reservation.close();
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
