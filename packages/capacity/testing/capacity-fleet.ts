/** Capacity services on a virtual network, with several engines that all serve one model. */

import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type ModelName,
  type Offset,
  type UpstreamName,
  type WorkspaceId,
  type ZoneId,
} from "../../common/ids.ts";
import { SeededRandom } from "../../common/random.ts";
import { VirtualTime } from "../../common/testing/virtual-time.ts";
import { emptyConfiguration } from "../../control/configuration.ts";
import type { Upstream, Workspace } from "../../control/document.ts";
import { ownerOf } from "../../control/owners.ts";
import { VirtualControlStream } from "../../control/testing/virtual-control.ts";
import {
  VirtualNetwork,
  type VirtualProcess,
} from "../../protocol/testing/virtual-network.ts";
import { CapacityService } from "../capacity-service.ts";

export interface CapacityFleetOptions {
  seed: number;
  members: number;
  engines: number;
  concurrency: number;
  /** Batch weight of each workspace. */
  weights: Record<string, number>;
  /** Delay of each message between instances. */
  latencyMilliseconds?: number;
  onlineReserve?: number;
}

export const model = brandAs<ModelName>("walnut-7b");

export function engineName(index: number): UpstreamName {
  return brandAs<UpstreamName>(`engine-${index}`);
}

export class CapacityFleet {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: VirtualNetwork;
  readonly control: VirtualControlStream;
  readonly processes = new Map<
    InstanceId,
    { process: VirtualProcess; service: CapacityService }
  >();

  constructor(options: CapacityFleetOptions) {
    const { latencyMilliseconds = 1.5, onlineReserve } = options;
    this.random = new SeededRandom(options.seed);
    this.network = new VirtualNetwork({
      time: this.time,
      latency: () => latencyMilliseconds,
    });
    const engines: Upstream[] = [];
    for (let index = 0; index < options.engines; index++) {
      engines.push({
        name: engineName(index),
        kind: "engine",
        address: "127.0.0.1:1",
        models: [model],
        concurrency: options.concurrency,
        checksFencing: false,
      });
    }
    const workspaces = Object.entries(options.weights).map(
      ([name, batchWeight]): Workspace => ({
        id: brandAs<WorkspaceId>(name),
        ratePerSecond: 1,
        burst: 1,
        batchWeight,
        keys: [],
      }),
    );
    const instances = Array.from(
      { length: options.members },
      (_, index) => brandAs<InstanceId>(`instance-${index}`),
    );
    this.control = new VirtualControlStream(
      this.time,
      {
        appliedOffset: brandAs<Offset>(0),
        membershipOffset: brandAs<Offset>(0),
        configuration: {
          ...emptyConfiguration(),
          upstreams: new Map(engines.map((engine) => [engine.name, engine])),
          engines: new Map([[model, engines]]),
          workspaces: new Map(workspaces.map((entry) => [entry.id, entry])),
        },
        members: new Map(instances.map((instance) => [instance, {
          instance,
          incarnation: brandAs<Incarnation>("run-0"),
          zone: brandAs<ZoneId>("a"),
          host: "127.0.0.1",
          port: 1,
          metricsUrl: "",
          state: "active",
          joinedAt: brandAs<Offset>(0),
        }])),
      },
      () => 5 * this.random.next(),
    );
    for (const instance of instances) {
      const process = this.network.start(
        instance,
        brandAs<Incarnation>("run-0"),
      );
      const service = new CapacityService({
        instance,
        control: this.control.open(process),
        network: process,
        ownerOf,
        clock: this.time,
        timers: process,
        ...(onlineReserve === undefined ? {} : { onlineReserve }),
      });
      service.start();
      this.processes.set(instance, { process, service });
    }
  }

  /** Stops an instance without notice; it stays a member. */
  crash(instance: InstanceId): void {
    this.processes.get(instance)?.process.crash();
    this.processes.delete(instance);
  }

  /** Removes an instance from the members. */
  evict(instance: InstanceId): void {
    const members = new Map(this.control.latest.members);
    members.delete(instance);
    this.control.publish({ members });
  }

  coordinatorOf(upstream: UpstreamName): InstanceId {
    return ownerOf(this.control.latest, `capacity/${upstream}`)!;
  }
}
