/** The servers to which an online request was sent, as far as they matter for the next choice. */

import type { InstanceId } from "../common/ids.ts";
import type { AttemptFailure } from "./server-attempt.ts";

export class TriedServers {
  /** Servers at which an attempt failed or that may not be used. */
  readonly excluded = new Set<InstanceId>();
  /** Servers that did not begin to answer while others had room. */
  readonly leftServers = new Set<InstanceId>();

  add(server: InstanceId, { isMove = false }: Pick<AttemptFailure, "isMove">) {
    (isMove ? this.leftServers : this.excluded).add(server);
  }
}
