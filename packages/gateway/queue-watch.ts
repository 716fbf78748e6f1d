/**
 * Watches a request that was sent and has not begun to be answered, since servers queue requests
 * first come, first served. Regularly asks that a batch run make room at the server, and looks for
 * a free slot at another server once the request has waited for long.
 */

import type { InstanceId } from "../common/ids.ts";
import { queueCheckIntervalMilliseconds } from "./constants.ts";
import type { Placer, RoomReply, RoomRequest } from "./placement.ts";

export interface QueueWatchOptions {
  readonly placer: Placer;
  readonly server: InstanceId;
  /** From this time on, another server is looked for; monotonic milliseconds. */
  readonly moveAt: number;
  readonly now: () => number;
  /** The question for another server; undefined if the request may not move. */
  readonly roomRequest: () => RoomRequest | undefined;
  /** Called each time that a batch run was asked to make room. */
  readonly onRoomRequested: () => void;
  /** Called when another server has a free slot. */
  readonly onRoomElsewhere: (reply: RoomReply) => void;
}

export class QueueWatch {
  readonly #options: QueueWatchOptions;
  #timer: NodeJS.Timeout | undefined;
  #isAsking = false;

  constructor(options: QueueWatchOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#check(),
      queueCheckIntervalMilliseconds,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #check(): void {
    const { placer, server, moveAt, now, onRoomRequested } = this.#options;
    if (now() >= moveAt && !this.#isAsking) void this.#lookElsewhere();
    // The answer to the question may have come at once and ended the watch.
    if (this.#timer === undefined) return;
    onRoomRequested();
    placer.makeRoom(server);
  }

  async #lookElsewhere(): Promise<void> {
    const { placer, roomRequest, onRoomElsewhere } = this.#options;
    const request = roomRequest();
    if (!request) return;
    this.#isAsking = true;
    try {
      const reply = await placer.findRoom(request);
      if (this.#timer !== undefined && reply.hasRoomElsewhere) {
        onRoomElsewhere(reply);
      }
    } finally {
      this.#isAsking = false;
    }
  }
}
