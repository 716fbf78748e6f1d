/**
 * Places online requests of a dependent: asks a coordinator, and decides by this instance's own
 * view if none replies in time. An instance that hears no other may spend hardly a token of a
 * limit; right after the loss of all instances, a limited request therefore waits until the
 * coordinators, which are there but do not decide yet, do so.
 */

import type { InstanceId } from "../common/ids.ts";
import { delay, systemTimers, type Timers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import type { SendChoice } from "../gateway/choose-server.ts";
import type { ChoiceRequest } from "../gateway/online-services.ts";
import type {
  Placement,
  PlacementRequest,
  Placer,
  RoomReply,
  RoomRequest,
} from "../gateway/placement.ts";
import {
  decisionTimeoutMilliseconds,
  undecidedRetryMilliseconds,
  undecidedWaitMilliseconds,
} from "./constants.ts";
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
  readonly timers?: Timers;
}

export class RemotePlacer implements Placer {
  readonly #options: Required<RemotePlacerOptions>;
  /** Choices that no coordinator has made. */
  readonly #ownChoices = new WeakSet<SendChoice>();
  /** Server and number of requests that a coordinator has placed there in vain. */
  readonly #unsent = new Map<InstanceId, number>();

  constructor(options: RemotePlacerOptions) {
    this.#options = { timers: systemTimers, ...options };
  }

  async place(request: PlacementRequest): Promise<Placement> {
    const { client, fallback, now, timers } = this.#options;
    const giveUpAt = now() + undecidedWaitMilliseconds;
    for (;;) {
      const askedAt = now();
      const decided = await this.#ask(request);
      if (decided) return decided;
      const placement = await fallback.place(request);
      if (placement.kind === "send") {
        this.#ownChoices.add(placement);
        client.handleLoadChange();
      }
      if (placement.kind !== "limited") return placement;
      if (now() >= giveUpAt || !client.isUndecidedSince(askedAt)) {
        return withShortRetry(placement);
      }
      await delay(timers, undecidedRetryMilliseconds);
    }
  }

  /** Undefined if no coordinator decides. */
  async #ask(request: PlacementRequest): Promise<Placement | undefined> {
    const { client, blackboard } = this.#options;
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
        requestId: request.requestId,
        sharedPromptParts: request.sharedPromptParts,
        ownPromptPart: request.ownPromptPart,
      }),
      (reply) => {
        if (reply.kind === "send") {
          blackboard.loads.addRequest(reply.server.id, "online");
        }
        return reply;
      },
      { deadlineMilliseconds: decisionTimeoutMilliseconds },
    );
    if (placement?.kind === "send") client.handleLoadChange();
    return placement;
  }

  releaseSlot(server: InstanceId): void {
    this.#options.fallback.releaseSlot(server);
    this.#options.client.handleLoadChange();
  }

  withdraw(choice: SendChoice): void {
    const { blackboard, client, fallback } = this.#options;
    if (this.#ownChoices.has(choice)) return fallback.withdraw(choice);
    const { id } = choice.server;
    blackboard.loads.removeRequest(id, "online");
    this.#unsent.set(id, (this.#unsent.get(id) ?? 0) + 1);
    client.handleLoadChange();
  }

  /** Placements that were withdrawn since the last call, for the coordinator. */
  takeUnsent(): (readonly [InstanceId, number])[] {
    const unsent = [...this.#unsent];
    this.#unsent.clear();
    return unsent;
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
    { excluded, leftServers = new Set(), ...request }: ChoiceRequest,
  ) {
    const { blackboard, zone, now } = this.#options;
    return {
      service: request.service,
      excluded: [...excluded],
      avoided: [...blackboard.health.avoidedServers(now()), ...leftServers],
      objectiveMilliseconds: request.objectiveMilliseconds,
      waitTolerance: request.waitTolerance,
      allowedRegions: request.allowedRegions,
      zone,
    };
  }
}

/**
 * A limit that this instance could only enforce for itself may have room once a coordinator
 * answers again, so that the caller is asked back soon.
 */
function withShortRetry(
  placement: Extract<Placement, { kind: "limited" }>,
): Placement {
  return {
    ...placement,
    retryAfterMilliseconds: defaultRetryAfterMilliseconds,
  };
}
