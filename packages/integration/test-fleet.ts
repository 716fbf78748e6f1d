/**
 * Test fixture for the integration tests: a fleet of real processes with a published document,
 * clients for the caller interface and access to the request journals of the upstreams.
 */

import { readFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import {
  CallerClient,
  createClientDispatcher,
} from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import { freshnessMilliseconds } from "../control/constants.ts";
import { type Deployment, deployments } from "../demo/deployments.ts";
import { DirectPublisher } from "../demo/direct-publisher.ts";
import {
  type ExampleDocument,
  type PreparedDocument,
  prepareDocument,
} from "../demo/example-documents.ts";
import { type Fleet, type FleetInstance, startFleet } from "../demo/fleet.ts";
import { transferDeadlineMilliseconds } from "../limits/constants.ts";
import {
  type JournalLine,
  readJournal,
} from "../stand-ins/shared/test-support.ts";

export interface TestFleetOptions {
  /** Name of the deployment that the test starts from. */
  base?: string;
  /** Fields that replace those of the base deployment. */
  changes?: Partial<Deployment>;
  /** Changes the document before it is published. */
  edit?: (document: ExampleDocument) => void;
  /** Instances to start; the others can be started later. All by default. */
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
/** Log levels from warnings upwards. */
const warningPattern = /"logLevel":[4-6]0/;
/** Warnings of each instance in the description of a fleet. */
const maximumDescribedWarnings = 10;

/** Polls until the check returns neither false nor undefined; a check that throws is retried. */
export async function waitUntil<Value>(
  description: string,
  check: () => Value | Promise<Value>,
  timeoutMilliseconds = conditionTimeoutMilliseconds,
): Promise<Exclude<Value, undefined | false>> {
  const deadline = performance.now() + timeoutMilliseconds;
  let lastFailure: unknown = "the condition is false";
  for (;;) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) {
        return value as Exclude<Value, undefined | false>;
      }
    } catch (error) {
      lastFailure = error;
    }
    if (performance.now() > deadline) {
      throw new RosemaryrudderError(
        "condition_timeout",
        `timed out: ${description} (${String(lastFailure)})`,
      );
    }
    await sleep(25);
  }
}

export class TestFleet {
  readonly fleet: Fleet;
  readonly prepared: PreparedDocument;
  readonly #dispatcher = createClientDispatcher();
  /** Connects to the log directly, so that link faults do not affect it. */
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
    if (!base) {
      throw new RosemaryrudderError("unknown_deployment", "no base deployment");
    }
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

  /**
   * Creates a second operator's publisher, which expects every section to be at the given version.
   */
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

  /**
   * Waits until every running instance lists all of them as active members, as of the same
   * record, and that record is in force.
   */
  async waitUntilComplete(): Promise<void> {
    await waitUntil("all instances are members", async () => {
      const running = this.runningInstances;
      const statuses = await Promise.all(
        running.map((instance) => this.status(instance)),
      );
      const [first] = statuses;
      return statuses.every(({ appliedOffset, members }) =>
        appliedOffset === first?.appliedOffset &&
        running.every(({ id }) =>
          members.some(({ instance, state }) =>
            instance === id && state === "active"
          )
        )
      );
    });
    await sleep(freshnessMilliseconds + transferDeadlineMilliseconds);
  }

  async status(instance: FleetInstance): Promise<InstanceStatus> {
    const response = await fetch(`${instance.metricsUrl}/status`, {
      signal: AbortSignal.timeout(2_000),
    });
    return await response.json() as InstanceStatus;
  }

  /**
   * Describes the fleet for the message of a failed check: the status of each running instance
   * and the last warnings in its log.
   */
  async describe(): Promise<string> {
    const lines = this.runningInstances.map(async (instance) => {
      const status = await this.status(instance).catch(String);
      const log = readFileSync(
        join(this.fleet.directory, `${instance.id}.log`),
        "utf8",
      );
      const warnings = log.split("\n").filter((line) =>
        warningPattern.test(line)
      );
      return [
        `${instance.id} ${JSON.stringify(status)}`,
        ...warnings.slice(-maximumDescribedWarnings),
      ].join("\n");
    });
    return (await Promise.all(lines)).join("\n");
  }

  /** Creates a client that calls one instance through the fault proxy with a workspace's key. */
  client(instanceIndex: number, workspace: string): CallerClient {
    return new CallerClient({
      baseUrl: this.instance(instanceIndex).url,
      key: this.keyOf(workspace),
      dispatcher: this.#dispatcher,
    });
  }

  /** Creates a client that connects to the instance directly, as a load balancer in its zone does. */
  directClient(instanceIndex: number, workspace: string): CallerClient {
    return new CallerClient({
      baseUrl: this.instance(instanceIndex).directUrl,
      key: this.keyOf(workspace),
      dispatcher: this.#dispatcher,
    });
  }

  /** Command line that publishes with the operators' tool and the signing keys of all teams. */
  publishCommand(): string[] {
    this.fleet.publisher.setTeamKeys(this.prepared.teamKeys);
    return this.fleet.publisher.command;
  }

  /** The document as YAML, with the section versions that are in force. */
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

  /** Batch input file (JSON lines) with one chat item per content. */
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

  /** Requests received by all upstreams of a kind, in order of arrival per upstream. */
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
