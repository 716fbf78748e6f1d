/**
 * Executes orders to an engine, such as to load a model or an adapter or to change its role.
 * With `checksFencing`, an order is refused if one with a higher fencing token was seen before;
 * otherwise the token is ignored.
 */

import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import type { EngineSettings } from "./settings.ts";
import { maximumStoredOrders } from "../constants.ts";

export const orderRequestSchema = z.strictObject({
  order: z.looseObject({
    kind: z.string().min(1),
    model: z.string().min(1).optional(),
  }),
  fencingToken: z.number().int().nonnegative(),
});
export type OrderRequest = z.output<typeof orderRequestSchema>;

/** HTTP status and JSON body of the answer to an order. */
export interface OrderResult {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

export class OrderHandler {
  readonly #settings: EngineSettings;
  readonly #models: Set<string>;
  #highestFencingToken = 0;
  #accepted: (OrderRequest & { time: number })[] = [];

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#models = new Set(settings.models);
  }

  /** Names of the loaded models. */
  get models(): ReadonlySet<string> {
    return this.#models;
  }

  get accepted(): readonly OrderRequest[] {
    return this.#accepted;
  }

  async execute(request: OrderRequest): Promise<OrderResult> {
    const { order, fencingToken } = request;
    if (
      this.#settings.checksFencing && fencingToken < this.#highestFencingToken
    ) {
      return {
        status: 409,
        body: {
          error: { message: "the fencing token is lower than one seen before" },
          highestToken: this.#highestFencingToken,
        },
      };
    }
    this.#highestFencingToken = Math.max(
      this.#highestFencingToken,
      fencingToken,
    );
    this.#accepted.push({ ...request, time: Date.now() });
    this.#accepted = this.#accepted.slice(-maximumStoredOrders);
    if (this.#settings.orderMilliseconds > 0) {
      await delay(this.#settings.orderMilliseconds);
    }
    if (order.kind === "load_model" && order.model) {
      const status = await this.#fetchWeights(order.model);
      if (status !== 200) {
        return {
          status: 502,
          body: { error: { message: `the weight store answered ${status}` } },
        };
      }
      this.#models.add(order.model);
    }
    if (order.kind === "unload_model" && order.model) {
      this.#models.delete(order.model);
    }
    return { status: 200, body: { accepted: true, models: [...this.#models] } };
  }

  /** Fetches a model's weights and returns the HTTP status, or 504 if there was no answer. */
  async #fetchWeights(model: string): Promise<number> {
    const base = this.#settings.weightStoreUrl;
    if (base === undefined) return 200;
    try {
      const url = `${base}/weights/${encodeURIComponent(model)}`;
      const response = await fetch(url);
      await response.arrayBuffer();
      return response.status;
    } catch {
      return 504;
    }
  }
}
