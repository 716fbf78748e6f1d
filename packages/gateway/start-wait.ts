/**
 * Holds the requests that arrive while this instance still reads its first configuration and list
 * of servers. Answers the load of callers who come back at once after all instances were lost: the
 * documents are there within about half a second, and a caller who is refused may not ask again.
 * An instance that cannot read them in time refuses at once.
 */

import { systemTimers, type Timers } from "../common/timers.ts";
import {
  maximumRequestsHeldAtStart,
  startWaitMilliseconds,
} from "./constants.ts";

export interface HeldRequest {
  /** Called once the documents are there. */
  readonly handle: () => void;
  /** Called when the time for the start is over. */
  readonly refuse: () => void;
}

export class StartWait {
  readonly #cancelTimer: () => void;
  #held: HeldRequest[] = [];
  #isOver = false;

  constructor({ timers = systemTimers }: { timers?: Timers } = {}) {
    this.#cancelTimer = timers.after(startWaitMilliseconds, () => {
      this.#isOver = true;
      for (const { refuse } of this.#held.splice(0)) refuse();
    });
  }

  /** Refuses the request at once if it cannot be held. */
  hold(request: HeldRequest): void {
    if (this.#isOver || this.#held.length >= maximumRequestsHeldAtStart) {
      return request.refuse();
    }
    this.#held.push(request);
  }

  /** Called when the documents are there: handles the held requests in order of arrival. */
  end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#cancelTimer();
    for (const { handle } of this.#held.splice(0)) handle();
  }
}
