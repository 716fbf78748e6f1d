/**
 * The servers that are cold: they have just started, and take only a few requests per second from
 * all instances together. Of the coordinators, rendezvous hashing over the member list chooses one
 * sender for each cold server, which alone sends to it; no message passes for a send. After the cold
 * time the other coordinators join in several steps. An instance that hears no coordinator sends
 * nothing to these servers.
 */

import { rankByRendezvous } from "../../common/hashing.ts";
import type { InstanceId, UpstreamName } from "../../common/ids.ts";
import type { SendBudget } from "../limits/server-limits.ts";
import type { FleetView } from "../limits/shared-bucket.ts";
import type { ServerLifetime, UpstreamServer } from "../upstreams.ts";
import {
  type ColdBounds,
  type ColdPolicy,
  defaultColdBounds,
  sendersAtStep,
  sendsLeft,
  shareOfSender,
  slotsAtStep,
  stageAt,
  timeUntilNextSend,
} from "./cold-rate.ts";
import {
  coldWindowMilliseconds,
  entryLagMilliseconds,
  negligibleChangeMilliseconds,
  presumedOutageMilliseconds,
} from "./constants.ts";

/** Why a server counts as cold. */
export type ColdSource =
  | "entry"
  | "restart"
  | "refused_connection"
  | "zone_return"
  | "peer";

/** A server that counts as cold, as instances tell it to each other. */
export interface KnownCold {
  readonly server: InstanceId;
  /** Start of the server's lifetime in which it is cold. */
  readonly serverStartedAt: number;
  readonly leftMilliseconds: number;
  /** The server has refused a connection; a later entry may show that it is warm. */
  readonly isPresumed: boolean;
}

/** How this instance takes part in the coordination of the fleet. */
export interface CoordinatorContact {
  readonly self: InstanceId;
  /** The coordinators that this instance hears; undefined while it is none itself. */
  readonly view: () => FleetView | undefined;
}

export interface ColdServersOptions {
  readonly bounds?: ColdBounds;
  readonly policyOf: (service: UpstreamName) => ColdPolicy | undefined;
}

/** What a server that is cold, or was so recently, may get from this instance. */
export type ColdAllowance =
  | {
    readonly kind: "allowed";
    readonly slots: number;
    /** Undefined once the server is not cold any more. */
    readonly sendBudget: SendBudget | undefined;
  }
  | { readonly kind: "refused"; readonly waitMilliseconds: number };

export interface ColdChange {
  readonly server: InstanceId;
  readonly source: ColdSource;
  readonly milliseconds: number;
  readonly requestsPerSecond: number;
}

interface ColdRecord {
  readonly serverStartedAt: number;
  readonly service: UpstreamName;
  /** Monotonic milliseconds, here and in all parameters. */
  coldUntil: number;
  /** The part of `coldUntil` that was not learnt from another coordinator. */
  ownColdUntil: number;
  /** When a connection to the server was last refused, unless an entry has named it since. */
  refusedAt: number | undefined;
  /** No request is sent before this time: others may have sent some before they knew. */
  opensAt: number;
  /** When this instance sent requests in the last window, oldest first. */
  sends: number[];
  /** Rank of this instance for the server among `rankedFor`; -1 if it is not one of them. */
  rank: number;
  rankedFor: readonly InstanceId[] | undefined;
}

export class ColdServers {
  readonly #options: Required<ColdServersOptions>;
  readonly #records = new Map<InstanceId, ColdRecord>();
  #contact: CoordinatorContact | undefined;
  /** By the member list; another array after each change. */
  #coordinators: readonly InstanceId[] = [];
  #coordinatorsChangedAt = Number.NEGATIVE_INFINITY;
  #changes = 0;

  constructor(options: ColdServersOptions) {
    this.#options = { bounds: defaultColdBounds, ...options };
  }

  /** Until this is called, the instance sends nothing to cold servers. */
  connect(contact: CoordinatorContact): void {
    this.#contact = contact;
  }

  setCoordinators(coordinators: readonly InstanceId[], now: number): void {
    const isUnchanged = coordinators.length === this.#coordinators.length &&
      coordinators.every((one, index) => one === this.#coordinators[index]);
    if (isUnchanged) return;
    this.#coordinators = coordinators;
    this.#coordinatorsChangedAt = now;
  }

  /** Rises with each change of which other coordinators have to be told. */
  get changes(): number {
    return this.#changes;
  }

  /** Number of servers that are cold at present. */
  count(now: number): number {
    let count = 0;
    for (const { coldUntil } of this.#records.values()) {
      if (now < coldUntil) count += 1;
    }
    return count;
  }

  /** Records the entry of a server; `previous` is the one that was known before, if any. */
  recordEntry(
    server: UpstreamServer,
    previous: UpstreamServer | undefined,
    now: number,
  ): ColdChange | undefined {
    const policy = this.#options.policyOf(server.service);
    const isNewLifetime =
      previous?.startedAtMilliseconds !== server.startedAtMilliseconds;
    const record = this.#records.get(server.id);
    if (
      record && record.serverStartedAt !== server.startedAtMilliseconds
    ) this.#records.delete(server.id);
    // The configuration that makes use of it may be read after the entry.
    const stated = server.coldMilliseconds ??
      (previous && isNewLifetime ? policy?.coldMilliseconds ?? 0 : 0);
    this.#endPresumption(server, stated, now);
    if (stated <= 0) return undefined;
    return this.#extend(server, stated, now, {
      source: server.coldMilliseconds === undefined ? "restart" : "entry",
      // Requests that were sent to an earlier lifetime are none of this one.
      mayHaveSends: !isNewLifetime,
    });
  }

  /**
   * Records that the server refuses connections: it is down and may start again before its entry says
   * so. `isOwn` means that this instance has to tell the others.
   */
  recordRefusedConnection(
    server: UpstreamServer,
    now: number,
    { isOwn = true }: { readonly isOwn?: boolean } = {},
  ): ColdChange | undefined {
    const policy = this.#options.policyOf(server.service);
    if (!policy || policy.coldMilliseconds === 0) return undefined;
    const milliseconds = policy.coldMilliseconds + presumedOutageMilliseconds;
    const change = this.#extend(server, milliseconds, now, {
      source: "refused_connection",
      mayHaveSends: true,
      isOwn,
    });
    this.#recordOf(server)!.refusedAt = now;
    return change;
  }

  /** Records that a zone is not evacuated any longer: its servers have had no traffic. */
  recordZoneReturn(
    server: UpstreamServer,
    now: number,
  ): ColdChange | undefined {
    const policy = this.#options.policyOf(server.service);
    if (!policy || policy.coldMilliseconds === 0) return undefined;
    return this.#extend(server, policy.coldMilliseconds, now, {
      source: "zone_return",
      mayHaveSends: false,
    });
  }

  /**
   * Records what another instance knows. `isDependent` means that this instance has to pass it on.
   */
  recordKnown(
    server: UpstreamServer,
    { leftMilliseconds, isPresumed }: KnownCold,
    now: number,
    { isDependent }: { readonly isDependent: boolean },
  ): ColdChange | undefined {
    const change = this.#extend(server, leftMilliseconds, now, {
      source: "peer",
      mayHaveSends: true,
      isOwn: isDependent,
    });
    // A repeated report is no new refusal.
    if (change && isPresumed) this.#recordOf(server)!.refusedAt = now;
    return change;
  }

  /** Cold servers that this instance has not learnt of from another coordinator. */
  known(now: number): KnownCold[] {
    const known: KnownCold[] = [];
    for (const [server, record] of this.#records) {
      const leftMilliseconds = Math.round(record.ownColdUntil - now);
      if (leftMilliseconds <= 0) continue;
      const { serverStartedAt } = record;
      const isPresumed = record.refusedAt !== undefined;
      known.push({ server, serverStartedAt, leftMilliseconds, isPresumed });
    }
    return known;
  }

  /** Servers that have refused a connection of this instance since the given time. */
  refusedSince(time: number, now: number): KnownCold[] {
    return this.known(now).filter(({ server }) =>
      (this.#records.get(server)?.refusedAt ?? Number.NEGATIVE_INFINITY) >= time
    );
  }

  /** Undefined if the server is warm, so that nothing restricts what it gets. */
  allowanceFor(
    server: Pick<UpstreamServer, "id" | "startedAtMilliseconds" | "slots">,
    now: number,
  ): ColdAllowance | undefined {
    const record = this.#recordOf(server);
    const policy = record && this.#options.policyOf(record.service);
    if (!policy) return undefined;
    const stage = stageAt(record.coldUntil, now);
    if (stage.kind === "warm") return undefined;
    const view = this.#contact?.view();
    const rank = view ? this.#rankFor(record, server.id) : -1;
    if (rank < 0) {
      const waitMilliseconds = Math.max(0, record.coldUntil - now);
      return { kind: "refused", waitMilliseconds };
    }
    if (stage.kind === "ramp") {
      const senders = sendersAtStep(stage.step, this.#coordinators.length);
      return rank < senders
        ? {
          kind: "allowed",
          slots: slotsAtStep(stage.step, server.slots),
          sendBudget: undefined,
        }
        : { kind: "refused", waitMilliseconds: 0 };
    }
    if (rank > 0) {
      return { kind: "refused", waitMilliseconds: stage.leftMilliseconds };
    }
    return this.#budget(record, { policy, view: view!, now, ...server });
  }

  /** Counts a request that is about to be sent. A send that is not made is not given back. */
  take(server: ServerLifetime, now: number): void {
    const record = this.#recordOf(server);
    if (!record || now >= record.coldUntil) return;
    record.sends = record.sends.filter((time) =>
      now - time < coldWindowMilliseconds
    );
    record.sends.push(now);
  }

  /** Forgets servers that are warm; returns them, and drops those that are no longer known. */
  expire(now: number): InstanceId[] {
    const warm: InstanceId[] = [];
    for (const [server, { coldUntil }] of this.#records) {
      if (stageAt(coldUntil, now).kind !== "warm") continue;
      this.#records.delete(server);
      warm.push(server);
    }
    return warm;
  }

  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!isKnown(id)) this.#records.delete(id);
    }
  }

  #recordOf({ id, startedAtMilliseconds }: ServerLifetime) {
    const record = this.#records.get(id);
    return record?.serverStartedAt === startedAtMilliseconds
      ? record
      : undefined;
  }

  #budget(
    record: ColdRecord,
    { policy, view: { heard, members }, now, slots }: {
      readonly policy: ColdPolicy;
      readonly view: FleetView;
      readonly now: number;
      readonly slots: number;
    },
  ): ColdAllowance {
    const hasNewList =
      now - this.#coordinatorsChangedAt < coldWindowMilliseconds;
    const share = shareOfSender(policy, this.#options.bounds, {
      isIsolated: heard * 2 <= members || hasNewList,
    });
    const wait = Math.max(
      record.opensAt - now,
      timeUntilNextSend(record.sends, share, now),
    );
    if (wait > 0) {
      const left = record.coldUntil - now;
      return { kind: "refused", waitMilliseconds: Math.min(wait, left) };
    }
    const left = sendsLeft(record.sends, share, now);
    return {
      kind: "allowed",
      slots,
      sendBudget: {
        limitPerSecond: policy.requestsPerSecond,
        ageMilliseconds: 0,
        allowance: left,
        level: left,
        burst: share,
        waitMilliseconds: 0,
      },
    };
  }

  /** The rank of this instance among the coordinators for the server; 0 is the sender. */
  #rankFor(record: ColdRecord, server: InstanceId): number {
    const self = this.#contact?.self;
    if (record.rankedFor !== this.#coordinators && self !== undefined) {
      record.rank = rankByRendezvous(server, this.#coordinators).indexOf(self);
      record.rankedFor = this.#coordinators;
    }
    return record.rank;
  }

  /** Ends what a refused connection has suggested if a later entry names the same lifetime as warm. */
  #endPresumption(
    server: ServerLifetime,
    statedMilliseconds: number,
    now: number,
  ): void {
    const record = this.#recordOf(server);
    if (record?.refusedAt === undefined) return;
    if (now - record.refusedAt < entryLagMilliseconds) return;
    record.refusedAt = undefined;
    record.coldUntil = Math.min(record.coldUntil, now + statedMilliseconds);
    record.ownColdUntil = record.coldUntil;
  }

  /** Moves the end of the cold time to a later time; an end that is later already stays. */
  #extend(
    server: Pick<UpstreamServer, "id" | "startedAtMilliseconds" | "service">,
    milliseconds: number,
    now: number,
    { source, mayHaveSends, isOwn = true }: {
      readonly source: ColdSource;
      readonly mayHaveSends: boolean;
      readonly isOwn?: boolean;
    },
  ): ColdChange | undefined {
    let record = this.#recordOf(server);
    const coldUntil = now + milliseconds;
    if (!record) {
      record = {
        serverStartedAt: server.startedAtMilliseconds,
        service: server.service,
        coldUntil: now,
        ownColdUntil: now,
        refusedAt: undefined,
        opensAt: now,
        sends: [],
        rank: -1,
        rankedFor: undefined,
      };
      this.#records.set(server.id, record);
    }
    if (record.coldUntil <= now && mayHaveSends) {
      record.opensAt = now + coldWindowMilliseconds;
    }
    const rise = coldUntil - Math.max(record.coldUntil, now);
    record.coldUntil = Math.max(record.coldUntil, coldUntil);
    const ownRise = coldUntil - Math.max(record.ownColdUntil, now);
    if (isOwn) {
      record.ownColdUntil = Math.max(record.ownColdUntil, coldUntil);
      if (ownRise >= negligibleChangeMilliseconds) this.#changes += 1;
    }
    if (rise < negligibleChangeMilliseconds) return undefined;
    return {
      server: server.id,
      source,
      milliseconds: Math.round(milliseconds),
      requestsPerSecond: this.#options.policyOf(server.service)
        ?.requestsPerSecond ?? 0,
    };
  }
}
