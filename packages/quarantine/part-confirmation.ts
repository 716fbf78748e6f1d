/** Asks the other coordinators whether a part that is about to be convicted has been answered. */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, PromptPartId } from "../common/ids.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { confirmationTimeoutMilliseconds } from "./constants.ts";
import { confirmationMessage } from "./messages.ts";

export interface ConfirmationServices {
  readonly network: PeerNetwork;
  readonly coordinators: () => readonly InstanceId[];
  readonly clock: Clock;
}

export interface Confirmation {
  /** Most coordinators replied, this instance included. */
  readonly isHeard: boolean;
  /** When the newest answer on the part began, in monotonic milliseconds; undefined for never. */
  readonly beganAt: number | undefined;
}

export async function askForAnswers(
  part: PromptPartId,
  { network, coordinators, clock }: ConfirmationServices,
): Promise<Confirmation> {
  const others = coordinators();
  const replies = await Promise.all(
    others.map((coordinator) =>
      network.request(coordinator, confirmationMessage, { part }, {
        deadlineMilliseconds: confirmationTimeoutMilliseconds,
      }).catch(() => undefined)
    ),
  );
  const now = clock.monotonicNow();
  const begins = replies.flatMap((reply) =>
    reply?.begunAgoMilliseconds === undefined
      ? []
      : [now - reply.begunAgoMilliseconds]
  );
  // Both counts include this instance.
  const heard = replies.filter((reply) => reply !== undefined).length + 1;
  return {
    isHeard: heard * 2 > others.length + 1,
    beganAt: begins.length > 0 ? Math.max(...begins) : undefined,
  };
}
