/** Sets faults on the links between the processes of a fleet, through the fault proxies. */

import { request } from "undici";
import { RosemaryrudderError } from "../common/errors.ts";
import type {
  LinkChange,
  LinkMode,
} from "../stand-ins/fault-proxy/settings.ts";

/** Name of the link over which one process connects to another. */
export function linkName(source: string, target: string): string {
  return `${source}->${target}`;
}

/** Source name of the links over which callers connect to instances. */
export const callersSource = "callers";

/**
 * Controls links by source and target, each a process id, "callers" or a pattern with `*`. A link
 * carries the connections that its source opens, in both directions.
 */
export class LinkControl {
  readonly #adminUrls: readonly string[];

  constructor(adminUrls: readonly string[]) {
    this.#adminUrls = adminUrls;
  }

  /** Closes the connections of a link and refuses new ones. */
  cut(source: string, target: string): Promise<void> {
    return this.#setMode("cut", [linkName(source, target)]);
  }

  /** Stops all traffic of a link; its connections stay open. */
  freeze(source: string, target: string): Promise<void> {
    return this.#setMode("freeze", [linkName(source, target)]);
  }

  /** Forwards requests but discards their answers. */
  dropAnswers(source: string, target: string): Promise<void> {
    return this.#setMode("drop_answers", [linkName(source, target)]);
  }

  heal(source: string, target: string): Promise<void> {
    return this.#setMode("forward", [linkName(source, target)]);
  }

  healAll(): Promise<void> {
    return this.#setMode("forward", ["*"]);
  }

  /** Cuts all links from and to a process, or all processes that match a pattern. */
  isolate(id: string): Promise<void> {
    return this.#setMode("cut", [linkName(id, "*"), linkName("*", id)]);
  }

  /** Restores the links that `isolate` has cut. */
  rejoin(id: string): Promise<void> {
    return this.#setMode("forward", [linkName(id, "*"), linkName("*", id)]);
  }

  setDelay(
    source: string,
    target: string,
    delayMilliseconds: number,
  ): Promise<void> {
    return this.#change([linkName(source, target)], { delayMilliseconds });
  }

  #setMode(mode: LinkMode, names: string[]): Promise<void> {
    return this.#change(names, { mode });
  }

  async #change(names: string[], change: LinkChange): Promise<void> {
    const statuses = await Promise.all(
      this.#adminUrls.map(async (url) => {
        const response = await request(`${url}/links`, {
          method: "PUT",
          body: JSON.stringify({ names, ...change }),
        });
        await response.body.dump();
        return response.statusCode;
      }),
    );
    if (!statuses.includes(200)) {
      throw new RosemaryrudderError(
        "no_such_link",
        `no link matches ${names.join(", ")}`,
      );
    }
  }
}
