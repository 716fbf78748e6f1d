/**
 * Places online requests of a dependent: asks a coordinator, and decides by this instance's own
 * view if none replies in time.
 */

import type { InstanceId } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import type { ChoiceRequest } from "../gateway/online-services.ts";
import type {
  Placement,
  PlacementRequest,
  Placer,
  RoomReply,
  RoomRequest,
} from "../gateway/placement.ts";
import { decisionTimeoutMilliseconds } from "./constants.ts";
import type { CoordinatorClient } from "./coordinator-client.ts";
import { makeRoomMessage, placementMessage, roomMessage } from "./messages.ts";

export interface RemotePlacerOptions {
  readonly client: CoordinatorClient;
  /** Decides if no coordinator replies. */
  readonly fallback: Placer;
  readonly blackboard: Blackboard;
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export class RemotePlacer implements Placer {
  readonly #options: RemotePlacerOptions;

  constructor(options: RemotePlacerOptions) {
    this.#options = options;
  }

  async place(request: PlacementRequest): Promise<Placement> {
    const { client, fallback, blackboard } = this.#options;
    const { limitedWorkspace } = request;
    const placement = await client.ask(
      placementMessage,
      (question) => ({
        ...this.#encodeChoice(request),
        question,
        limitedWorkspace: limitedWorkspace && {
          id: limitedWorkspace.id,
          ratePerSecond: limitedWorkspace.ratePerSecond,
          burst: limitedWorkspace.burst,
        },
      }),
      (reply) => {
        if (reply.kind === "send") {
          blackboard.loads.addRequest(reply.server.id, "online");
        }
        return reply;
      },
      { deadlineMilliseconds: decisionTimeoutMilliseconds },
    ) ?? withShortRetry(await fallback.place(request));
    if (placement.kind === "send") client.handleLoadChange();
    return placement;
  }

  releaseSlot(server: InstanceId): void {
    this.#options.fallback.releaseSlot(server);
    this.#options.client.handleLoadChange();
  }

  async findRoom(request: RoomRequest): Promise<RoomReply> {
    const reply = await this.#options.client.ask(
      roomMessage,
      () => ({ ...this.#encodeChoice(request), server: request.server }),
      (reply) => reply,
      { deadlineMilliseconds: decisionTimeoutMilliseconds, maximumAsked: 1 },
    );
    return reply ?? await this.#options.fallback.findRoom(request);
  }

  makeRoom(server: InstanceId): void {
    this.#options.client.tell(makeRoomMessage, { server });
  }

  #encodeChoice(
    { service, excluded, objectiveMilliseconds, waitTolerance }: ChoiceRequest,
  ) {
    const { blackboard, zone, now } = this.#options;
    return {
      service,
      excluded: [...excluded],
      avoided: blackboard.health.avoidedServers(now()),
      objectiveMilliseconds,
      waitTolerance,
      zone,
    };
  }
}

/**
 * A limit that this instance could only enforce for itself may have room once a coordinator
 * answers again, so that the caller is asked back soon.
 */
function withShortRetry(placement: Placement): Placement {
  return placement.kind === "limited"
    ? { ...placement, retryAfterMilliseconds: defaultRetryAfterMilliseconds }
    : placement;
}
