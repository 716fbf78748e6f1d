/**
 * Stand-in for the platform's list of live and leaving instances, which lags behind changes: a
 * change is shown only after a configured time.
 */

import { z } from "zod";
import { type Clock, systemClock } from "../../common/clock.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import { logLevelSchema } from "../../common/program.ts";
import {
  type HttpExchange,
  readJson,
  sendError,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";

export const listedInstanceSchema = z.strictObject({
  name: z.string().min(1),
  address: z.string().min(1),
  zone: z.string().min(1),
  state: z.enum(["live", "leaving"]).default("live"),
});
export type ListedInstance = z.output<typeof listedInstanceSchema>;

export const instanceListSettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_300),
  lagMilliseconds: z.number().nonnegative().default(1_000)
    .describe("Delay until a change is shown"),
  instances: z.array(listedInstanceSchema).default([]),
  logLevel: logLevelSchema.default("info"),
});

export interface RunningInstanceList {
  readonly port: number;
  close(): Promise<void>;
}

/** A change of some fields. An instance that is not listed yet needs an address and a zone. */
const changeSchema = listedInstanceSchema.omit({ name: true }).partial();

export async function startInstanceList(
  input: z.input<typeof instanceListSettingsSchema>,
  logger: Logger = silentLogger,
  { monotonicNow }: Pick<Clock, "monotonicNow"> = systemClock,
): Promise<RunningInstanceList> {
  const { instances, lagMilliseconds, ...settings } = instanceListSettingsSchema
    .parse(input);
  const list = new InstanceList(instances, { lagMilliseconds, monotonicNow });
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => list.handle(exchange),
  });
  logger.info("listening", { host: settings.host, port: http.port });
  return { port: http.port, close: () => http.close() };
}

interface InstanceListOptions extends Pick<Clock, "monotonicNow"> {
  readonly lagMilliseconds: number;
}

class InstanceList {
  readonly #options: InstanceListOptions;
  readonly #shownInstances: Map<string, ListedInstance>;
  #pendingChanges: {
    shownAt: number;
    name: string;
    instance?: ListedInstance;
  }[] = [];

  constructor(
    instances: readonly ListedInstance[],
    options: InstanceListOptions,
  ) {
    this.#options = options;
    this.#shownInstances = new Map(
      instances.map((instance) => [instance.name, instance]),
    );
  }

  async handle({ method, segments, request, response }: HttpExchange) {
    const [root, name] = segments;
    this.#applyDueChanges();
    if (root === "healthz") return sendJson(response, 200, { status: "ok" });
    if (root === "instances" && method === "GET" && name === undefined) {
      return sendJson(response, 200, {
        instances: [...this.#shownInstances.values()],
      });
    }
    if (root !== "instances" || name === undefined) {
      return sendError(response, 404, "no such resource");
    }
    if (method === "DELETE") {
      this.#scheduleChange(name, undefined);
      return sendJson(response, 200, { name });
    }
    if (method !== "PUT") return sendError(response, 405, "use GET or PUT");
    const change = await readJson(request, changeSchema);
    const result = listedInstanceSchema.safeParse({
      ...this.#latestState(name),
      ...change,
      name,
    });
    if (!result.success) {
      return sendError(
        response,
        400,
        `${name} is not listed yet and needs an address and a zone`,
      );
    }
    this.#scheduleChange(name, result.data);
    sendJson(response, 200, result.data);
  }

  /** Returns the state of an instance after all changes, including those not shown yet. */
  #latestState(name: string): ListedInstance | undefined {
    const pending = this.#pendingChanges.findLast((change) =>
      change.name === name
    );
    return pending ? pending.instance : this.#shownInstances.get(name);
  }

  /** Adds or replaces an instance after the lag, or removes it if it is undefined. */
  #scheduleChange(name: string, instance: ListedInstance | undefined): void {
    const { lagMilliseconds, monotonicNow } = this.#options;
    const shownAt = monotonicNow() + lagMilliseconds;
    this.#pendingChanges.push({ shownAt, name, ...(instance && { instance }) });
  }

  #applyDueChanges(): void {
    const now = this.#options.monotonicNow();
    const dueChanges = this.#pendingChanges.filter((change) =>
      change.shownAt <= now
    );
    this.#pendingChanges = this.#pendingChanges.filter((change) =>
      change.shownAt > now
    );
    for (const { name, instance } of dueChanges) {
      if (instance) this.#shownInstances.set(name, instance);
      else this.#shownInstances.delete(name);
    }
  }
}
