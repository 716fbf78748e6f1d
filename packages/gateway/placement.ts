/**
 * Where an online request goes: the interface of the placement, with an implementation that
 * decides from this instance's own view of the fleet.
 */

import type { InstanceId, PromptPartId } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { WorkspaceRule } from "../fleet/configuration.ts";
import type { BucketState } from "../fleet/limits/shared-bucket.ts";
import type { Judgement } from "../quarantine/quarantine.ts";
import {
  chooseServer,
  chooseServerForTrial,
  freeSlots,
  hasQueue,
  type SendChoice,
  type ServerChoice,
} from "./choose-server.ts";
import { acceptableWaitShares } from "./constants.ts";
import type { ChoiceRequest } from "./online-services.ts";
import { listCandidates } from "./server-candidates.ts";

export type LimitDecision =
  | { readonly admitted: true }
  | {
    readonly admitted: false;
    readonly retryAfterMilliseconds: number;
    /** The state of the token bucket at the decision, for the logs. */
    readonly state: BucketState;
  };

export interface WorkspaceLimiter {
  /** Counts one request against the rate limit of the workspace, if the limit allows it. */
  admit(workspace: WorkspaceRule): LimitDecision;
}

export interface PlacementRequest extends ChoiceRequest {
  /** The workspace against whose limit the request still has to be counted, if any. */
  readonly limitedWorkspace: WorkspaceRule | undefined;
  /** Parts of the prompt by which the request may be suspected to crash servers. */
  readonly sharedPromptParts: readonly PromptPartId[];
  /** The part that belongs to the request or its session alone. */
  readonly ownPromptPart?: PromptPartId | undefined;
  readonly requestId: string;
}

/** A request that finds no room is not counted against the limit of its workspace. */
export type Placement =
  | ServerChoice
  | { readonly kind: "limited" }
    & Omit<
      Extract<LimitDecision, { admitted: false }>,
      "admitted"
    >
  /** Another request with the same suspected part has been sent, whose outcome is awaited. */
  | { readonly kind: "held"; readonly part: PromptPartId }
  /** Servers crash under the part, so that the request must not be sent. */
  | {
    readonly kind: "quarantined";
    readonly part: PromptPartId;
    readonly crashes: number;
    /** Wall-clock milliseconds. */
    readonly decidedAt: number;
  };

/** Decides on requests by the parts of their prompts. */
export interface PartJudge {
  judge(
    parts: readonly PromptPartId[],
    ownPart?: PromptPartId,
  ): Judgement;
  beginTrial(request: string, parts: readonly PromptPartId[]): void;
}

/** Asks whether a request that waits at a server would begin sooner at another one. */
export interface RoomRequest extends ChoiceRequest {
  readonly server: InstanceId;
}

export interface RoomReply {
  /** Another trusted server has a free slot. */
  readonly hasRoomElsewhere: boolean;
  /** The server itself has a free slot, so that it should have begun. */
  readonly isServerIdle: boolean;
}

export interface Placer {
  /** Chooses a server and counts the request in its load, until `releaseSlot` is called. */
  place(request: PlacementRequest): Promise<Placement>;
  releaseSlot(server: InstanceId): void;
  /** Takes back a choice whose request was not sent, as if it had not been made. */
  withdraw(choice: SendChoice): void;
  findRoom(request: RoomRequest): Promise<RoomReply>;
  /** Has one batch run at the server stopped if requests wait there for a slot. */
  makeRoom(server: InstanceId): void;
}

/** The instance for which a decision is made, as far as the decision depends on it. */
export interface PlacementOrigin {
  readonly zone: string;
  /** Servers that recently failed requests of this instance. */
  readonly avoided?: ReadonlySet<InstanceId>;
}

export interface LocalPlacerOptions {
  readonly blackboard: Blackboard;
  readonly limiter: () => WorkspaceLimiter;
  readonly quarantine: () => PartJudge;
  /** Brings the limits up to date where no report interval does so. */
  readonly refreshLimits?: () => void;
  readonly zone: string;
  readonly displaceBatch: (server: InstanceId) => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly random?: () => number;
}

export class LocalPlacer implements Placer {
  readonly #options: Required<LocalPlacerOptions>;

  constructor(options: LocalPlacerOptions) {
    this.#options = {
      random: Math.random,
      refreshLimits: () => {},
      ...options,
    };
  }

  place(request: PlacementRequest): Promise<Placement> {
    const placement = this.decide(request, { zone: this.#options.zone });
    if (placement.kind === "send") {
      this.#options.blackboard.loads.addRequest(placement.server.id, "online");
    }
    return Promise.resolve(placement);
  }

  releaseSlot(server: InstanceId): void {
    this.#options.blackboard.loads.removeRequest(server, "online");
  }

  withdraw({ server }: SendChoice): void {
    this.releaseSlot(server.id);
    this.#options.blackboard.serverLimits.giveBack(server.id);
  }

  findRoom(request: RoomRequest): Promise<RoomReply> {
    const { zone } = this.#options;
    return Promise.resolve(this.checkRoom(request, { zone }));
  }

  makeRoom(server: InstanceId): void {
    const { blackboard, now } = this.#options;
    const upstream = blackboard.upstreams.get(server);
    if (!upstream) return;
    const load = blackboard.loads.estimate(server, now());
    if (!hasQueue({ slots: upstream.slots, ...load })) return;
    this.#options.displaceBatch(server);
  }

  /** Decides on a request without counting it in the load of the server, but in its limit. */
  decide(request: PlacementRequest, origin: PlacementOrigin): Placement {
    const { blackboard, now } = this.#options;
    this.#options.refreshLimits();
    const quarantine = this.#options.quarantine();
    const judgement = quarantine.judge(
      request.sharedPromptParts,
      request.ownPromptPart,
    );
    if (judgement.kind === "undecided") {
      return { kind: "held", part: judgement.part };
    }
    if (judgement.kind === "rejected") {
      const { part, crashes, decidedAt } = judgement.verdict;
      return { kind: "quarantined", part, crashes, decidedAt };
    }
    const isTrial = judgement.kind === "trial";
    const choice = this.#choose(
      request,
      origin,
      isTrial ? chooseServerForTrial : chooseServer,
    );
    if (choice.kind !== "send") return choice;
    const { limitedWorkspace } = request;
    if (limitedWorkspace) {
      const decision = this.#options.limiter().admit(limitedWorkspace);
      if (!decision.admitted) {
        const { retryAfterMilliseconds, state } = decision;
        return { kind: "limited", retryAfterMilliseconds, state };
      }
    }
    const upstream = blackboard.upstreams.get(choice.server.id);
    if (upstream) blackboard.sendRules.take(upstream, now());
    if (choice.displacesBatch) this.#options.displaceBatch(choice.server.id);
    if (!isTrial) return choice;
    quarantine.beginTrial(request.requestId, judgement.parts);
    return { ...choice, isTrial };
  }

  checkRoom(request: RoomRequest, origin: PlacementOrigin): RoomReply {
    const { blackboard, now } = this.#options;
    const { server } = request;
    const excluded = new Set([...request.excluded, server]);
    const other = this.#choose({ ...request, excluded }, origin);
    const slots = blackboard.upstreams.get(server)?.slots ?? 0;
    const load = blackboard.loads.estimate(server, now());
    return {
      hasRoomElsewhere: other.kind === "send" && !other.server.isAvoided &&
        freeSlots(other.server) > 0,
      isServerIdle: freeSlots({ slots, ...load }) > 0,
    };
  }

  #choose(
    request: ChoiceRequest,
    { zone, avoided }: PlacementOrigin,
    choose = chooseServer,
  ): ServerChoice {
    const { blackboard, now, random } = this.#options;
    const { service, objectiveMilliseconds, waitTolerance, leftServers } =
      request;
    const candidates = listCandidates(blackboard, {
      ...request,
      zone,
      now: now(),
      avoided: leftServers?.size
        ? new Set([...avoided ?? [], ...leftServers])
        : avoided,
    });
    const choice = choose(candidates, {
      durationMilliseconds: blackboard.requestDurationMilliseconds,
      acceptableWaitMilliseconds: objectiveMilliseconds *
        acceptableWaitShares[waitTolerance],
      random,
    });
    if (choice.kind !== "none") return choice;
    const waitMilliseconds = blackboard.sendRules.timeUntilRoom(
      service,
      now(),
      request,
    );
    return { ...choice, waitMilliseconds };
  }
}
