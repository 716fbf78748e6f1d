/**
 * A fleet of real processes for the integration tests, with its published document, clients of
 * the caller interface and the journals of the upstreams.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import {
  CallerClient,
  createClientDispatcher,
} from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import { type Deployment, deployments } from "../demo/deployments.ts";
import { DirectPublisher } from "../demo/direct-publisher.ts";
import {
  type ExampleDocument,
  type PreparedDocument,
  prepareDocument,
} from "../demo/example-documents.ts";
import { type Fleet, type FleetInstance, startFleet } from "../demo/fleet.ts";
import {
  type JournalLine,
  readJournal,
} from "../stand-ins/shared/test-support.ts";

export interface TestFleetOptions {
  /** Name of the deployment that the test starts from. */
  base?: string;
  /** What differs from the base. */
  changes?: Partial<Deployment>;
  edit?: (document: ExampleDocument) => void;
  startedInstances?: number;
}

export interface InstanceStatus {
  readonly phase: string;
  readonly isFresh: boolean;
  readonly appliedOffset: number;
  readonly sections: Record<string, number>;
  readonly members: readonly { instance: string; state: string }[];
}

const conditionTimeoutMilliseconds = 30_000;

/** Waits for a condition; errors inside the check count as not yet. */
export async function waitUntil<Value>(
  description: string,
  check: () => Value | Promise<Value>,
  timeoutMilliseconds = conditionTimeoutMilliseconds,
): Promise<Exclude<Value, undefined | false>> {
  const deadline = performance.now() + timeoutMilliseconds;
  let last: unknown = "the condition is false";
  for (;;) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) {
        return value as Exclude<Value, undefined | false>;
      }
    } catch (error) {
      last = error;
    }
    if (performance.now() > deadline) {
      throw new RosemaryrudderError(
        "condition_timeout",
        `timed out: ${description} (${String(last)})`,
      );
    }
    await sleep(25);
  }
}

export class TestFleet {
  readonly fleet: Fleet;
  readonly prepared: PreparedDocument;
  readonly #dispatcher = createClientDispatcher();
  /** The operators' path to the log has no fault proxy on it. */
  readonly #publisher: DirectPublisher;

  constructor(fleet: Fleet, prepared: PreparedDocument) {
    this.fleet = fleet;
    this.prepared = prepared;
    this.#publisher = new DirectPublisher({
      published: { fleet, prepared },
      initialVersion: 0,
    });
  }

  static async start(options: TestFleetOptions = {}): Promise<TestFleet> {
    const base = deployments[options.base ?? "small"];
    if (!base) throw new RosemaryrudderError("unknown_deployment", "no base");
    const fleet = await startFleet({
      deployment: { ...base, ...options.changes },
      ...(options.startedInstances === undefined
        ? {}
        : { startedInstances: options.startedInstances }),
    });
    const testFleet = new TestFleet(
      fleet,
      prepareDocument(fleet.plan, {
        template: base.document,
        ...(options.edit ? { edit: options.edit } : {}),
      }),
    );
    try {
      for (const section of Object.keys(testFleet.prepared.document)) {
        await testFleet.publishSection(section);
      }
      await testFleet.waitUntilInForce();
      return testFleet;
    } catch (error) {
      await testFleet.dispose();
      throw error;
    }
  }

  get instances(): FleetInstance[] {
    return this.fleet.instances;
  }

  get runningInstances(): FleetInstance[] {
    return this.instances.filter(({ id }) => this.fleet.isRunning(id));
  }

  get model(): string {
    return this.fleet.plan.deployment.models[0] ?? "";
  }

  instance(index: number): FleetInstance {
    const instance = this.instances[index];
    if (!instance) throw new RosemaryrudderError("no_instance", `${index}`);
    return instance;
  }

  /** Publishes the section as it stands in the prepared document. */
  publishSection(section: string): Promise<void> {
    return this.#publisher.publish(section);
  }

  /** Another operator's way to the log, based on a version of the sections. */
  createPublisher(initialVersion: number): DirectPublisher {
    return new DirectPublisher({
      published: { fleet: this.fleet, prepared: this.prepared },
      initialVersion,
    });
  }

  /** Waits until every running instance has applied the sections that were published. */
  async waitUntilInForce(): Promise<void> {
    for (const instance of this.runningInstances) {
      await waitUntil(`${instance.id} applies the document`, async () => {
        const { sections } = await this.status(instance);
        return [...this.#publisher.versions].every(([name, version]) =>
          sections[name] === version
        );
      });
    }
  }

  async status(instance: FleetInstance): Promise<InstanceStatus> {
    const response = await fetch(`${instance.metricsUrl}/status`, {
      signal: AbortSignal.timeout(2_000),
    });
    return await response.json() as InstanceStatus;
  }

  /** A caller of one instance with the key of a workspace. */
  client(instanceIndex: number, workspace: string): CallerClient {
    return new CallerClient({
      baseUrl: this.instance(instanceIndex).url,
      key: this.keyOf(workspace),
      dispatcher: this.#dispatcher,
    });
  }

  /** A caller that meets the instance's own listener, as a balancer in the zone does. */
  directClient(instanceIndex: number, workspace: string): CallerClient {
    return new CallerClient({
      baseUrl: this.instance(instanceIndex).directUrl,
      key: this.keyOf(workspace),
      dispatcher: this.#dispatcher,
    });
  }

  /** Command of the operators' tool with the keys of all teams. */
  publishCommand(): string[] {
    this.fleet.publisher.setTeamKeys(this.prepared.teamKeys);
    return this.fleet.publisher.command;
  }

  /** The document as an operator has it who fetched the versions in force. */
  currentDocument(): string {
    const sections = Object.entries(this.prepared.document).map((
      [name, body],
    ) => [name, { ...body, version: this.#publisher.versions.get(name) ?? 0 }]);
    return stringify({ sections: Object.fromEntries(sections) });
  }

  keyOf(workspace: string): string {
    const found = this.prepared.workspaces.find(({ id }) => id === workspace);
    if (!found) throw new RosemaryrudderError("unknown_workspace", workspace);
    return found.key;
  }

  chatBody(content: string, extra: Record<string, unknown> = {}) {
    return {
      model: this.model,
      messages: [{ role: "user", content }],
      ...extra,
    };
  }

  /** Batch input with one chat item for each content. */
  batchInput(contents: readonly string[]): string {
    return contents.map((content, index) =>
      JSON.stringify({
        custom_id: `item-${index}`,
        method: "POST",
        url: "/v1/chat/completions",
        body: this.chatBody(content, { max_tokens: 8 }),
      })
    ).join("\n") + "\n";
  }

  /** Requests that the upstreams of a kind have received, in order for each upstream. */
  async journal(kind: "engine" | "plain"): Promise<JournalLine[]> {
    const upstreams = this.fleet.upstreams.filter((upstream) =>
      upstream.kind === kind
    );
    const lines = await Promise.all(
      upstreams.map(({ url }) => readJournal(url)),
    );
    return lines.flat();
  }

  async journalOf(upstream: string): Promise<JournalLine[]> {
    const found = this.fleet.upstreams.find(({ id }) => id === upstream);
    return found ? await readJournal(found.url) : [];
  }

  async dispose(): Promise<void> {
    await this.#publisher.dispose();
    await this.#dispatcher.destroy();
    await this.fleet.dispose();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.dispose();
  }
}
