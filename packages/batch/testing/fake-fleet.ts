/**
 * A fleet of batch services in one process for tests, with a fake log, network, control state and
 * capacity.
 */

import { Buffer } from "node:buffer";
import type {
  BatchCapacity,
  BatchDemand,
  BatchGrant,
} from "../../capacity/capacity.ts";
import { PeerUnavailableError } from "../../common/errors.ts";
import { pickByRendezvous } from "../../common/hashing.ts";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type JobId,
  type ModelName,
  type Offset,
  type SectionName,
  type UpstreamName,
  type WorkspaceId,
  type ZoneId,
} from "../../common/ids.ts";
import type {
  Configuration,
  ControlListener,
  ControlState,
  ControlView,
  Member,
} from "../../control/control-state.ts";
import {
  platformSectionSchema,
  routeSchema,
  upstreamSchema,
} from "../../control/document.ts";
import { AppendBudget } from "../../log/append-budget.ts";
import { decodeValue, encodeValue } from "../../protocol/frames.ts";
import type { PeerMessage } from "../../protocol/peer-message.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import type { RunBatchItem } from "../../routing/upstream-caller.ts";
import { FleetBatchService } from "../fleet-batch-service.ts";
import { delay, withTimeout } from "../timing.ts";
import { FakeLog } from "./fake-log.ts";

export const workspace = brandAs<WorkspaceId>("walnut");
export const model = brandAs<ModelName>("tagger");

/** While `paused` is set, the calls of an instance wait for it. */
interface PauseGate {
  paused: Promise<void> | undefined;
}

type Handler = (body: unknown, sender: unknown) => unknown;

/** A control state that the test replaces, with one engine and two routes. */
export class FakeControl implements ControlView {
  readonly #listeners = new Set<ControlListener>();
  state: ControlState;
  isFresh = () => true;

  constructor(options: { partitions: number; retentionSeconds: number }) {
    const platform = platformSectionSchema.parse({
      partitions: options.partitions,
      log: {
        appendsPerSecond: 4_000,
        retentionSeconds: options.retentionSeconds,
      },
      teams: [{ name: "team", publicKey: "key", sections: ["platform"] }],
    });
    const engine = upstreamSchema.parse({
      name: "engine-1",
      kind: "engine",
      address: "127.0.0.1:1",
      models: [model],
      concurrency: 8,
    });
    const route = (id: string, repeatable: boolean) =>
      routeSchema.parse({
        id,
        pathPrefix: `/${id}`,
        upstreams: [`${id}-1`],
        repeatable,
      });
    const configuration: Configuration = {
      platform,
      sectionVersions: new Map(),
      workspaces: new Map(),
      keys: new Map(),
      upstreams: new Map([[engine.name, engine]]),
      engines: new Map([[model, [engine]]]),
      routes: [route("scale", false), route("lookup", true)],
      cancelledJobs: new Set(),
      cancelledJobsBySection: new Map(),
      workspaceSections: new Map(),
    };
    this.state = {
      appliedOffset: 0 as Offset,
      configuration,
      members: new Map(),
      membershipOffset: 0 as Offset,
    };
  }

  setMembers(members: readonly Member[]): void {
    const offset = this.state.appliedOffset + 1 as Offset;
    this.#replace({
      ...this.state,
      appliedOffset: offset,
      membershipOffset: offset,
      members: new Map(members.map((member) => [member.instance, member])),
    });
  }

  /** Publishes a section that lists cancelled jobs. The test's workspace belongs to "north". */
  cancelJobs(jobs: JobId[], section = "north"): void {
    const cancelledJobs = new Set(jobs);
    const configuration = {
      ...this.state.configuration,
      cancelledJobs,
      cancelledJobsBySection: new Map([[
        brandAs<SectionName>(section),
        cancelledJobs,
      ]]),
      workspaceSections: new Map([[workspace, brandAs<SectionName>("north")]]),
    };
    const appliedOffset = this.state.appliedOffset + 1 as Offset;
    this.#replace({ ...this.state, appliedOffset, configuration });
  }

  onChange(listener: ControlListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  whenInForce(): Promise<void> {
    return Promise.resolve();
  }

  #replace(state: ControlState): void {
    const previous = this.state;
    this.state = state;
    for (const listener of this.#listeners) listener(state, previous);
  }
}

/** Issues grants up to a concurrency, each for the upstream of the demand or for the one engine. */
export class FakeCapacity implements BatchCapacity {
  readonly grants = new Map<
    string,
    { grant: BatchGrant; revoke: () => void }
  >();
  concurrency = 16;
  /** Number of calls of `setDemand`. */
  setDemandCalls = 0;
  #demand: readonly BatchDemand[] = [];
  #handler: (grant: BatchGrant) => void = () => {};
  #nextId = 0;

  setDemand(demand: readonly BatchDemand[]): void {
    this.#demand = demand;
    this.setDemandCalls += 1;
    this.#issueGrants();
  }

  onGrant(handler: (grant: BatchGrant) => void): void {
    this.#handler = handler;
  }

  revokeAll(): void {
    for (const { revoke } of this.grants.values()) revoke();
  }

  #issueGrants(): void {
    for (const { workspace, target, count } of this.#demand) {
      for (let issued = 0; issued < count; issued++) {
        if (this.grants.size >= this.concurrency) return;
        const id = String(this.#nextId++);
        const revoked = new AbortController();
        const grant: BatchGrant = {
          id,
          upstream: target.kind === "upstream"
            ? target.upstream
            : brandAs<UpstreamName>("engine-1"),
          workspace,
          target,
          revoked: revoked.signal,
          release: () => this.grants.delete(id),
        };
        this.grants.set(id, { grant, revoke: () => revoked.abort() });
        this.#handler(grant);
      }
    }
  }
}

export interface FakeInstance {
  readonly member: Member;
  readonly control: FakeControl;
  readonly capacity: FakeCapacity;
  readonly service: FleetBatchService;
  readonly gate: PauseGate;
  isDead: boolean;
}

export interface FakeFleetOptions {
  partitions?: number;
  retentionSeconds?: number;
  appendsPerSecond?: number;
  runItem: RunBatchItem;
}

export class FakeFleet {
  readonly log = new FakeLog();
  readonly instances = new Map<InstanceId, FakeInstance>();
  readonly #handlers = new Map<InstanceId, Map<string, [unknown, Handler]>>();
  readonly #options: Required<FakeFleetOptions>;

  constructor(options: FakeFleetOptions) {
    this.#options = {
      partitions: 4,
      retentionSeconds: 3_600,
      appendsPerSecond: 4_000,
      ...options,
    };
  }

  /** Starts an instance, without publishing it as a member. */
  startInstance(name: string, runItem: RunBatchItem = this.#options.runItem) {
    const instance = brandAs<InstanceId>(name);
    const incarnation = brandAs<Incarnation>(`${name}-1`);
    const member: Member = {
      instance,
      incarnation,
      zone: brandAs<ZoneId>("zone"),
      host: "127.0.0.1",
      port: 1,
      metricsUrl: "",
      state: "active",
      joinedAt: 0 as Offset,
    };
    const gate: PauseGate = { paused: undefined };
    const control = new FakeControl(this.#options);
    const capacity = new FakeCapacity();
    const created: FakeInstance = {
      member,
      control,
      capacity,
      gate,
      isDead: false,
      service: new FleetBatchService({
        instance,
        incarnation: () => incarnation,
        control,
        partitionOwner: (state, partition) =>
          pickByRendezvous(
            `partition ${partition}`,
            [...state.members.values()].filter(({ state }) =>
              state === "active"
            ).map((candidate) => candidate.instance),
          ),
        logClient: this.log.client(gate),
        appendBudget: new AppendBudget({
          fleetAppendsPerSecond: () => this.#options.appendsPerSecond,
          countMembers: () => control.state.members.size,
        }),
        network: this.#network(instance),
        capacity,
        runItem,
      }),
    };
    this.instances.set(instance, created);
    created.service.start();
    return created;
  }

  /** Publishes the members to all instances, or only to `readers`. */
  publishMembers(
    members: FakeInstance[],
    readers = [...this.instances.values()],
    leaving: FakeInstance[] = [],
  ) {
    for (const { control } of readers) {
      control.setMembers([
        ...members.map(({ member }) => member),
        ...leaving.map(({ member }) => ({
          ...member,
          state: "leaving" as const,
        })),
      ]);
    }
  }

  /** Starts instances and publishes them as the members. */
  start(...names: string[]): FakeInstance[] {
    const started = names.map((name) => this.startInstance(name));
    this.publishMembers(started);
    return started;
  }

  /** Stops an instance without any message, as SIGKILL does. */
  kill(instance: FakeInstance): void {
    instance.isDead = true;
    instance.gate.paused = new Promise(() => {});
    instance.control.isFresh = () => false;
    this.#handlers.delete(instance.member.instance);
    void instance.service.dispose();
  }

  async dispose(): Promise<void> {
    for (const { service } of this.instances.values()) await service.dispose();
  }

  #network(self: InstanceId): PeerNetwork {
    const handlers = new Map<string, [unknown, Handler]>();
    this.#handlers.set(self, handlers);
    const call = async <Request, Reply>(
      to: InstanceId,
      message: PeerMessage<Request, Reply>,
      body: Request,
    ) => {
      await this.instances.get(self)?.gate.paused;
      await this.instances.get(to)?.gate.paused;
      const handler = this.#handlers.get(to)?.get(message.type)?.[1];
      if (!handler) throw new PeerUnavailableError(`${to} was stopped`);
      const request = message.parseRequest(decodeValue(encodeValue(body)));
      const reply = await handler(request, { instance: self });
      return message.parseReply(decodeValue(encodeValue(reply)));
    };
    return {
      send: (to, message, body) => {
        call(to, message, body).catch(() => {});
      },
      request: async (to, message, body, { deadlineMilliseconds }) => {
        const answer = await withTimeout(
          call(to, message, body).then((reply) => ({ reply })),
          deadlineMilliseconds,
        );
        if (!answer) throw new PeerUnavailableError("no answer in time");
        return answer.reply;
      },
      handle: (message, handler) => {
        handlers.set(message.type, [message, handler as Handler]);
      },
    };
  }
}

export async function* encodeJsonLines(
  items: Iterable<unknown>,
): AsyncGenerator<Uint8Array> {
  for (const item of items) {
    yield await Promise.resolve(Buffer.from(JSON.stringify(item) + "\n"));
  }
}

export function chatItems(count: number): unknown[] {
  return Array.from({ length: count }, (_, line) => ({
    custom_id: `item-${line}`,
    method: "POST",
    url: "/v1/chat/completions",
    body: { model, messages: [{ role: "user", content: `lot ${line}` }] },
  }));
}

/** Uploads the items and creates a job for them. */
export async function submit(
  { service }: FakeInstance,
  items: Iterable<unknown>,
  options: { idempotencyKey?: string; fingerprint?: string } = {},
) {
  const file = await service.createFile({
    workspace,
    filename: "lots.jsonl",
    content: encodeJsonLines(items),
  });
  return await service.createJob({
    workspace,
    inputFile: file.id,
    endpoint: "/v1/chat/completions",
    deadline: Date.now() + 3_600_000,
    fingerprint: options.fingerprint ?? "fingerprint",
    idempotencyKey: options.idempotencyKey,
  });
}

export interface ResultLine {
  custom_id: string;
  response: { status_code: number; body: unknown } | null;
  error: { code: string; message: string } | null;
  not_run?: boolean | "unknown";
}

export async function readResults(
  { service }: FakeInstance,
  job: JobId,
): Promise<{ output: ResultLine[]; errors: ResultLine[] }> {
  const found = await service.getJob(workspace, job);
  if (!found) throw new Error(`job ${job} was not found`);
  const read = async (file: typeof found.outputFile) => {
    const parts: Uint8Array[] = [];
    for await (const part of await service.readFile(workspace, file)) {
      parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8").split("\n")
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as ResultLine);
  };
  return {
    output: await read(found.outputFile),
    errors: await read(found.errorFile),
  };
}

/** Polls every 20 ms until the check returns a value other than undefined or false. */
export async function waitFor<Value>(
  check: () => Promise<Value | undefined | false> | Value | undefined | false,
  limitMilliseconds = 20_000,
): Promise<Value> {
  const timeoutAt = Date.now() + limitMilliseconds;
  while (Date.now() < timeoutAt) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    await delay(20);
  }
  throw new Error(`the condition was not met within ${limitMilliseconds} ms`);
}

export async function waitUntilEnded(instance: FakeInstance, job: JobId) {
  return await waitFor(async () => {
    const found = await instance.service.getJob(workspace, job);
    return found?.endedAt !== undefined && found;
  });
}
