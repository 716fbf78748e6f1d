/** Stand-in of the platform's list of live and leaving instances, which lags behind changes. */

import { performance } from "node:perf_hooks";
import { z } from "zod";
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
    .describe("Time after which a change is shown"),
  instances: z.array(listedInstanceSchema).default([]),
  logLevel: logLevelSchema.default("info"),
});

export interface RunningInstanceList {
  readonly port: number;
  close(): Promise<void>;
}

/** A change names the state, or describes an instance that is not in the list yet. */
const changeSchema = listedInstanceSchema.omit({ name: true }).partial();

export async function startInstanceList(
  given: z.input<typeof instanceListSettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningInstanceList> {
  const settings = instanceListSettingsSchema.parse(given);
  const list = new InstanceList(settings.instances, settings.lagMilliseconds);
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => list.handle(exchange),
  });
  logger.info("listening", { host: settings.host, port: http.port });
  return { port: http.port, close: () => http.close() };
}

class InstanceList {
  readonly #lagMilliseconds: number;
  readonly #visible: Map<string, ListedInstance>;
  #pending: { at: number; name: string; instance?: ListedInstance }[] = [];

  constructor(instances: readonly ListedInstance[], lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds;
    this.#visible = new Map(
      instances.map((instance) => [instance.name, instance]),
    );
  }

  async handle({ method, segments, request, response }: HttpExchange) {
    const [root, name] = segments;
    this.#applyPending();
    if (root === "healthz") return sendJson(response, 200, { status: "ok" });
    if (root === "instances" && method === "GET" && name === undefined) {
      return sendJson(response, 200, {
        instances: [...this.#visible.values()],
      });
    }
    if (root !== "instances" || name === undefined) {
      return sendError(response, 404, "no such resource");
    }
    if (method === "DELETE") {
      this.#change(name, undefined);
      return sendJson(response, 200, { name });
    }
    if (method !== "PUT") return sendError(response, 405, "use GET or PUT");
    const change = await readJson(request, changeSchema);
    const result = listedInstanceSchema.safeParse({
      ...this.#latest(name),
      ...change,
      name,
    });
    if (!result.success) {
      return sendError(
        response,
        400,
        `${name} is new and needs address and zone`,
      );
    }
    this.#change(name, result.data);
    sendJson(response, 200, result.data);
  }

  /** The state of an instance after all changes, also those that are not shown yet. */
  #latest(name: string): ListedInstance | undefined {
    const pending = this.#pending.findLast((change) => change.name === name);
    return pending ? pending.instance : this.#visible.get(name);
  }

  #change(name: string, instance: ListedInstance | undefined): void {
    const at = performance.now() + this.#lagMilliseconds;
    this.#pending.push({ at, name, ...(instance && { instance }) });
  }

  #applyPending(): void {
    const now = performance.now();
    const due = this.#pending.filter((change) => change.at <= now);
    this.#pending = this.#pending.filter((change) => change.at > now);
    for (const { name, instance } of due) {
      if (instance) this.#visible.set(name, instance);
      else this.#visible.delete(name);
    }
  }
}
