/**
 * Determines which upstreams may get new requests: those of the configuration, unless the
 * platform's instance list shows them as leaving or no longer contains them. The list lags
 * behind, so an upstream that it has never contained counts as live. If the list cannot be
 * read, the last one that was read stays in use.
 */

import { request } from "undici";
import { z } from "zod";
import { DisposableStore } from "../common/disposable-store.ts";
import {
  brandAs,
  type ModelName,
  type UpstreamName,
  type ZoneId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import type { ControlView } from "../control/control-state.ts";
import type { Upstream } from "../control/document.ts";
import {
  instanceListPollMilliseconds,
  instanceListTimeoutMilliseconds,
} from "./constants.ts";

const instanceListSchema = z.object({
  instances: z.array(z.object({
    name: z.string(),
    address: z.string(),
    zone: z.string(),
    state: z.enum(["live", "leaving"]),
  })),
});

export interface ListedInstance {
  readonly name: UpstreamName;
  readonly address: string;
  readonly zone: ZoneId;
  readonly state: "live" | "leaving";
}

/** Lookup of configured upstreams and whether they may get new requests. */
export interface UpstreamLookup {
  find(name: UpstreamName): Upstream | undefined;
  enginesOf(model: ModelName): readonly Upstream[];
  /** Whether the upstream may get new requests. */
  isLive(name: UpstreamName): boolean;
}

export interface UpstreamDirectoryOptions {
  control: ControlView;
  /** Base URL of the instance list; without it, every configured upstream counts as live. */
  instanceListUrl?: string | undefined;
  pollMilliseconds?: number;
  logger?: Logger;
}

const noEngines: readonly Upstream[] = [];

export class UpstreamDirectory implements UpstreamLookup {
  readonly #options: UpstreamDirectoryOptions;
  readonly #logger: Logger;
  readonly #disposables = new DisposableStore();
  readonly #abortController = new AbortController();
  #listedInstances = new Map<UpstreamName, ListedInstance>();
  /** Upstreams that the list contained earlier but no longer contains. */
  readonly #goneUpstreams = new Set<UpstreamName>();
  #isPolling = false;
  #isListReadable = true;

  constructor(options: UpstreamDirectoryOptions) {
    this.#options = options;
    this.#logger = options.logger ?? silentLogger;
  }

  get listedInstances(): ReadonlyMap<UpstreamName, ListedInstance> {
    return this.#listedInstances;
  }

  async start(): Promise<void> {
    if (this.#options.instanceListUrl === undefined) return;
    this.#disposables.addInterval(
      () => void this.poll(),
      this.#options.pollMilliseconds ?? instanceListPollMilliseconds,
    );
    await this.poll();
  }

  async stop(): Promise<void> {
    this.#abortController.abort();
    await this.#disposables.dispose();
  }

  find(name: UpstreamName): Upstream | undefined {
    return this.#options.control.state.configuration.upstreams.get(name);
  }

  enginesOf(model: ModelName): readonly Upstream[] {
    return this.#options.control.state.configuration.engines.get(model) ??
      noEngines;
  }

  isLive(name: UpstreamName): boolean {
    return this.find(name) !== undefined && !this.#goneUpstreams.has(name) &&
      this.#listedInstances.get(name)?.state !== "leaving";
  }

  /** Reads the list once; if that fails, the last list stays in use. */
  async poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      this.apply(await this.#readList());
      if (!this.#isListReadable) this.#logger.info("instance list is readable");
      this.#isListReadable = true;
    } catch (error) {
      if (this.#isListReadable && !this.#disposables.isDisposed) {
        this.#logger.warn("instance list cannot be read, keeping the last", {
          reason: error instanceof Error ? error.message : String(error),
        });
      }
      this.#isListReadable = false;
    } finally {
      this.#isPolling = false;
    }
  }

  /** Replaces the list and logs upstreams whose state changed. */
  apply(instances: readonly ListedInstance[]): void {
    // An empty list after a non-empty one is a fault of the list, not the loss of all upstreams.
    if (instances.length === 0 && this.#listedInstances.size > 0) return;
    const next = new Map(
      instances.map((instance) => [instance.name, instance]),
    );
    for (const [name, { state }] of this.#listedInstances) {
      const nextState = next.get(name)?.state ?? "gone";
      if (nextState === "gone") this.#goneUpstreams.add(name);
      if (nextState === state) continue;
      this.#logger.info("state of an upstream changed", {
        upstream: name,
        state: nextState,
      });
    }
    for (const name of next.keys()) this.#goneUpstreams.delete(name);
    this.#listedInstances = next;
  }

  async #readList(): Promise<ListedInstance[]> {
    const response = await request(
      `${this.#options.instanceListUrl}/instances`,
      {
        signal: this.#abortController.signal,
        headersTimeout: instanceListTimeoutMilliseconds,
        bodyTimeout: instanceListTimeoutMilliseconds,
      },
    );
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new Error(
        `the instance list responded with status ${response.statusCode}`,
      );
    }
    return instanceListSchema.parse(JSON.parse(text)).instances.map((
      entry,
    ) => ({
      ...entry,
      name: brandAs<UpstreamName>(entry.name),
      zone: brandAs<ZoneId>(entry.zone),
    }));
  }
}
