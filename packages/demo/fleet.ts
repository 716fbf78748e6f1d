/**
 * Starts a whole deployment as separate processes on the loopback interface, for the demo, the
 * integration tests and the measurement tool.
 */

import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type ChildProcess, spawn } from "node:child_process";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { stringify } from "yaml";
import { DisposableStore } from "../common/disposable-store.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import { pauseGuardTimeoutMilliseconds } from "./constants.ts";
import { type Deployment, deployments } from "./deployments.ts";
import {
  type FleetPlan,
  planFleet,
  type PlannedProcess,
} from "./fleet-plan.ts";
import { LinkControl } from "./link-control.ts";
import { ManagedProcess } from "./managed-process.ts";
import { claimPortBlock } from "./port-block.ts";
import { programPath } from "./program-path.ts";
import { Publisher, type PublishResult } from "./publisher.ts";

export interface FleetOptions {
  /** Name of a known deployment, or a deployment itself. */
  deployment: string | Deployment;
  /** Instances to start; the others can be started later. All by default. */
  startedInstances?: number;
  /** Folder for settings, keys and logs. By default a temporary one, which is removed on dispose. */
  directory?: string;
}

export interface FleetInstance {
  readonly id: string;
  readonly zone: string;
  /** Address for callers, through the fault proxy. */
  readonly url: string;
  readonly directUrl: string;
  readonly metricsUrl: string;
  readonly pid: number | undefined;
}

export interface FleetUpstream {
  readonly id: string;
  readonly kind: "engine" | "plain";
  readonly zone: string;
  readonly url: string;
  readonly concurrency: number;
  readonly pid: number | undefined;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const deployment = typeof options.deployment === "string"
    ? findDeployment(options.deployment)
    : options.deployment;
  const store = new DisposableStore();
  const directory = options.directory ?? createTemporaryDirectory(store);
  mkdirSync(directory, { recursive: true });
  const ports = await claimPortBlock();
  store.add(() => ports.release());
  const plan = planFleet(deployment, () => ports.take());
  const fleet = new Fleet({ plan, directory, store });
  try {
    await fleet.startAll(options.startedInstances ?? deployment.instances);
    return fleet;
  } catch (error) {
    await fleet.dispose();
    throw error;
  }
}

function findDeployment(name: string): Deployment {
  const deployment = deployments[name];
  if (deployment) return deployment;
  const names = Object.keys(deployments).join(", ");
  throw new RosemaryrudderError(
    "unknown_deployment",
    `there is no deployment ${name}; choose one of ${names}`,
  );
}

function createTemporaryDirectory(store: DisposableStore): string {
  const directory = mkdtempSync(join(tmpdir(), "rosemaryrudder-"));
  const remove = () => rmSync(directory, { recursive: true, force: true });
  // The folder contains keys, so it is also removed when the launcher exits without dispose().
  process.once("exit", remove);
  store.add(() => {
    process.off("exit", remove);
    remove();
  });
  return directory;
}

interface FleetParts {
  plan: FleetPlan;
  directory: string;
  store: DisposableStore;
}

export class Fleet {
  readonly plan: FleetPlan;
  /** Faults on the links between processes. */
  readonly faults: LinkControl;
  readonly directory: string;
  readonly publisher: Publisher;
  readonly #store: DisposableStore;
  readonly #processes = new Map<string, ManagedProcess>();
  #pauseGuard: ChildProcess | undefined;

  constructor({ plan, directory, store }: FleetParts) {
    this.plan = plan;
    this.directory = directory;
    this.#store = store;
    this.faults = new LinkControl(plan.faultProxies.map(({ url }) => url));
    this.publisher = new Publisher({ directory, logUrl: plan.log.url });
    store.add(() => this.#killAll());
  }

  get instances(): FleetInstance[] {
    return this.plan.instances.map((planned) => {
      const { id, zone, url, directUrl, metricsUrl } = planned;
      const pid = this.#process(id).pid;
      return { id, zone, url, directUrl, metricsUrl, pid };
    });
  }

  get upstreams(): FleetUpstream[] {
    return this.plan.upstreams.map((planned) => {
      const { id, kind, zone, url, concurrency } = planned;
      return { id, kind, zone, url, concurrency, pid: this.#process(id).pid };
    });
  }

  get log(): { readonly url: string; readonly pid: number | undefined } {
    const { id, url } = this.plan.log;
    return { url, pid: this.#process(id).pid };
  }

  get instanceListUrl(): string {
    return this.plan.instanceList.url;
  }

  /** Starts the stand-ins, then the first instances; resolves when all are ready. */
  async startAll(startedInstances: number): Promise<void> {
    const { log, instanceList, weightStore, faultProxies, upstreams } =
      this.plan;
    const standIns = [
      log,
      instanceList,
      weightStore,
      ...faultProxies,
      ...upstreams,
    ];
    for (const planned of [...standIns, ...this.plan.instances]) {
      this.#processes.set(planned.id, this.#prepare(planned));
    }
    await Promise.all(standIns.map(({ id }) => this.start(id)));
    const firstInstances = this.plan.instances.slice(0, startedInstances);
    await Promise.all(firstInstances.map(({ id }) => this.start(id)));
  }

  /** Starts a process, also after it was killed, and waits until it is ready. */
  async start(id: string): Promise<void> {
    const managed = this.#process(id);
    managed.start();
    await managed.waitUntilReady();
  }

  startInstance(id: string): Promise<void> {
    return this.start(id);
  }

  isRunning(id: string): boolean {
    return this.#process(id).isRunning;
  }

  /** Kills a process with SIGKILL and waits until it has exited. */
  kill(id: string): Promise<void> {
    return this.#process(id).kill();
  }

  /** Suspends a process with SIGSTOP until `resume`; its connections stay open. */
  pause(id: string): void {
    const managed = this.#process(id);
    this.#notifyPauseGuard(`pause ${managed.pid}`);
    managed.pause();
  }

  resume(id: string): void {
    const managed = this.#process(id);
    managed.resume();
    this.#notifyPauseGuard(`resume ${managed.pid}`);
  }

  /** Starts a graceful shutdown; resolves with the exit status. */
  terminate(id: string): Promise<number | undefined> {
    return this.#process(id).terminate();
  }

  /** Sets faults of a stand-in, such as the log or an engine. */
  async setFaults(id: string, faults: object): Promise<void> {
    await this.#put(`${this.#faultUrlOf(id)}/faults`, faults);
  }

  /** Sets the state of an upstream in the platform's instance list. */
  async setListedState(id: string, state: "live" | "leaving"): Promise<void> {
    await this.#put(`${this.instanceListUrl}/instances/${id}`, { state });
  }

  /** Publishes a document with the operators' tool. */
  publish(documentText: string): Promise<PublishResult> {
    return this.publisher.publish(documentText);
  }

  /** Everything that a process has written to standard output and standard error. */
  readLog(id: string): string {
    return this.#process(id).readLog();
  }

  /** Kills all processes and removes the temporary folder. */
  dispose(): Promise<void> {
    return this.#store.dispose();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.dispose();
  }

  #prepare({ id, program, settings, readyUrl }: PlannedProcess) {
    const settingsFile = join(this.directory, `${id}.yaml`);
    writeFileSync(settingsFile, stringify(settings));
    return new ManagedProcess({
      id,
      script: programPath(program),
      args: ["--settings", settingsFile],
      logFile: join(this.directory, `${id}.log`),
      readyUrl,
    });
  }

  #process(id: string): ManagedProcess {
    const managed = this.#processes.get(id);
    if (managed) return managed;
    throw new RosemaryrudderError(
      "unknown_process",
      `the fleet has no process ${id}`,
    );
  }

  #faultUrlOf(id: string): string {
    const { log, upstreams } = this.plan;
    const found = [log, ...upstreams].find((planned) => planned.id === id);
    if (found) return found.url;
    throw new RosemaryrudderError(
      "unknown_process",
      `the process ${id} does not support faults`,
    );
  }

  async #put(url: string, body: object): Promise<void> {
    const response = await request(url, {
      method: "PUT",
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode === 200) return;
    throw new RosemaryrudderError("change_refused", `PUT ${url}: ${text}`);
  }

  /** Sends a command to the pause guard, which starts on first use as most fleets pause nothing. */
  #notifyPauseGuard(line: string): void {
    if (!this.#pauseGuard) {
      const script = new URL("./pause-guard.js", import.meta.url);
      this.#pauseGuard = spawn(process.execPath, [fileURLToPath(script)], {
        stdio: ["pipe", "ignore", "ignore"],
      });
      this.#pauseGuard.stdin?.on("error", () => {});
    }
    this.#pauseGuard.stdin?.write(line + "\n");
  }

  async #killAll(): Promise<void> {
    const processes = [...this.#processes.values()];
    await Promise.all(processes.map((managed) => managed.kill()));
    const guard = this.#pauseGuard;
    if (!guard || guard.exitCode !== null) return;
    const ended = new Promise((resolve) => guard.once("exit", resolve));
    guard.stdin?.end();
    await Promise.race([ended, delay(pauseGuardTimeoutMilliseconds)]);
  }
}
