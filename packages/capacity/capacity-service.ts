/**
 * The capacity service of an instance: combines the client for the instance's own requests with
 * the coordinator of the upstreams that it owns.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import type { InstanceId, UpstreamName } from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import type {
  ControlState,
  ControlView,
  OwnerLookup,
} from "../control/control-state.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type {
  BatchCapacity,
  BatchDemand,
  BatchGrant,
  OnlineCapacity,
} from "./capacity.ts";
import { CapacityClient } from "./client.ts";
import {
  coordinatorTickMilliseconds,
  defaultOnlineReserve,
  heartbeatMilliseconds,
} from "./constants.ts";
import { Coordinator } from "./coordinator.ts";
import { grantMessage, loadMessage, reportMessage } from "./messages.ts";
import type { UpstreamState } from "./scheduler.ts";

export interface CapacityServiceOptions {
  instance: InstanceId;
  control: ControlView;
  network: PeerNetwork;
  ownerOf: OwnerLookup;
  clock?: Clock;
  timers?: Timers;
  logger?: Logger;
  /** Slots of each upstream to reserve for online requests; see online-reserve.ts. */
  onlineReserve?: number;
  /** False while an upstream is leaving or unhealthy; it then gets no new batch calls. */
  isAvailable?: (upstream: UpstreamName) => boolean;
  /** Unique for each run of the process. */
  run?: string;
}

export class CapacityService implements OnlineCapacity, BatchCapacity {
  readonly #options: Required<CapacityServiceOptions>;
  readonly #store = new DisposableStore();
  readonly #client: CapacityClient;
  readonly #coordinator: Coordinator;

  constructor(options: CapacityServiceOptions) {
    const clock = options.clock ?? systemClock;
    this.#options = {
      clock,
      timers: systemTimers,
      logger: silentLogger,
      onlineReserve: defaultOnlineReserve,
      isAvailable: () => true,
      run: `${options.instance}.${Math.floor(clock.wallNow())}`,
      ...options,
    };
    const { instance, control, network, timers } = this.#options;
    this.#client = new CapacityClient({
      instance,
      control,
      clock,
      timers,
      coordinatorOf: (state, upstream) => this.#coordinatorOf(state, upstream),
      sendReport: (receiver, body) => {
        if (receiver === instance) {
          this.#coordinator.receiveReport(instance, body);
        } else network.send(receiver, reportMessage, body);
      },
    });
    this.#coordinator = new Coordinator({
      instance,
      run: this.#options.run,
      control,
      clock,
      onlineReserve: this.#options.onlineReserve,
      isOwned: (state, upstream) =>
        this.#coordinatorOf(state, upstream) === instance,
      isAvailable: this.#options.isAvailable,
      sendGrants: (receiver, body) => {
        if (receiver === instance) {
          // Deferred, so that the grant handler never runs within the call that led to the grant.
          timers.defer(() => this.#client.receiveGrants(instance, body));
        } else network.send(receiver, grantMessage, body);
      },
      sendLoads: (receiver, loads) => {
        if (receiver === instance) this.#client.receiveLoads(loads);
        else network.send(receiver, loadMessage, { loads });
      },
    });
  }

  start(): void {
    const { control, network } = this.#options;
    network.handle(reportMessage, (body, sender) => {
      this.#coordinator.receiveReport(sender.instance, body);
      return null;
    });
    network.handle(grantMessage, (body, sender) => {
      this.#client.receiveGrants(sender.instance, body);
      return null;
    });
    network.handle(loadMessage, ({ loads }) => {
      this.#client.receiveLoads(loads);
      return null;
    });
    this.#applyState(control.state);
    this.#store.add(
      control.onChange((state) => this.#applyState(state)),
    );
    this.#repeat(heartbeatMilliseconds, () => this.#client.heartbeat());
    this.#repeat(coordinatorTickMilliseconds, () => this.#coordinator.tick());
  }

  async dispose(): Promise<void> {
    await this.#store.dispose();
  }

  trackOnlineRequest(upstream: UpstreamName): () => void {
    return this.#client.trackOnlineRequest(upstream);
  }

  loadOf(upstream: UpstreamName): number {
    return this.#client.loadOf(upstream);
  }

  setDemand(demand: readonly BatchDemand[]): void {
    this.#client.setDemand(demand);
  }

  onGrant(handler: (grant: BatchGrant) => void): void {
    this.#client.onGrant(handler);
  }

  /** Records the time to the first token of an online request. */
  recordFirstToken(upstream: UpstreamName, milliseconds: number): void {
    this.#client.recordFirstToken(upstream, milliseconds);
  }

  /** Records how many waiting requests the upstream itself reports. */
  recordLoadReport(upstream: UpstreamName, waiting: number): void {
    this.#client.recordLoadReport(upstream, waiting);
  }

  /** The upstreams that this instance coordinates. */
  get coordinated(): readonly UpstreamState[] {
    return this.#coordinator.states;
  }

  #coordinatorOf(
    state: ControlState,
    upstream: UpstreamName,
  ): InstanceId | undefined {
    return this.#options.ownerOf(state, `capacity/${upstream}`);
  }

  #applyState(state: ControlState): void {
    if (!state.members.has(this.#options.instance)) this.#client.revokeAll();
    this.#coordinator.applyState(state);
    this.#client.applyState(state);
  }

  #repeat(milliseconds: number, action: () => void): void {
    let cancel = () => {};
    const arm = () => {
      cancel = this.#options.timers.after(milliseconds, () => {
        arm();
        action();
      });
    };
    arm();
    this.#store.add(() => cancel());
  }
}
