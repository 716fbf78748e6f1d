/** Faults on the links between the processes of a fleet, set at the fault proxies. */

import { request } from "undici";
import { RosemaryrudderError } from "../common/errors.ts";
import type {
  LinkChange,
  LinkMode,
} from "../stand-ins/fault-proxy/settings.ts";

/** Name of the link on which one process dials another. */
export function linkName(source: string, target: string): string {
  return `${source}->${target}`;
}

/** Source of the links on which callers dial instances. */
export const callersName = "callers";

/**
 * Sources and targets are ids of processes, "callers" or patterns with `*`. A link carries the
 * connections that its source dials, in both directions.
 */
export class LinkControl {
  readonly #adminUrls: readonly string[];

  constructor(adminUrls: readonly string[]) {
    this.#adminUrls = adminUrls;
  }

  cut(source: string, target: string): Promise<void> {
    return this.#setMode("cut", [linkName(source, target)]);
  }

  freeze(source: string, target: string): Promise<void> {
    return this.#setMode("freeze", [linkName(source, target)]);
  }

  dropAnswers(source: string, target: string): Promise<void> {
    return this.#setMode("drop_answers", [linkName(source, target)]);
  }

  heal(source: string, target: string): Promise<void> {
    return this.#setMode("forward", [linkName(source, target)]);
  }

  healAll(): Promise<void> {
    return this.#setMode("forward", ["*"]);
  }

  /** Cuts all links of a process, or of all that fit the pattern, in both roles. */
  isolate(id: string): Promise<void> {
    return this.#setMode("cut", [linkName(id, "*"), linkName("*", id)]);
  }

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
        `no link fits ${names.join(", ")}`,
      );
    }
  }
}
