/**
 * Orders to engines, such as loading a model. Only the coordinator of an engine issues them,
 * one at a time, with the control offset of its ownership as fencing token. For an engine that
 * ignores the token, a new coordinator first waits until no order of its predecessor can still
 * be on its way.
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type RequestId,
  type UpstreamName,
} from "../common/ids.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import {
  maximumQuotedCharacters,
  orderTimeoutMilliseconds,
} from "./constants.ts";
import type { UpstreamCaller } from "./upstream-caller.ts";

export type EngineOrder =
  | { readonly kind: "load_model"; readonly model: string }
  | { readonly kind: "unload_model"; readonly model: string }
  | { readonly kind: "load_adapter"; readonly adapter: string }
  | { readonly kind: "load_version"; readonly model: string; version: string }
  | { readonly kind: "set_role"; readonly role: string };

export class EngineOrderError extends RosemaryrudderError {}

export interface EngineOrdersOptions {
  control: ControlView;
  caller: UpstreamCaller;
  instance: InstanceId;
  incarnation: () => Incarnation;
  /** The coordinator of an upstream in a control state. */
  ownerOf: (
    state: ControlState,
    upstream: UpstreamName,
  ) => InstanceId | undefined;
  orderTimeoutMilliseconds?: number;
  timers?: Timers;
}

interface Ownership {
  readonly incarnation: Incarnation;
  /** Control offset at which this instance became coordinator. */
  readonly fencingToken: Offset;
  /** Resolves when orders of an earlier coordinator can no longer arrive. */
  predecessorFinished: Promise<void> | undefined;
}

export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #orderTimeoutMilliseconds: number;
  readonly #timers: Timers;
  readonly #ownerships = new Map<UpstreamName, Ownership>();
  /** The last order to each upstream, which the next one waits for. */
  readonly #queues = new Map<UpstreamName, Promise<unknown>>();
  readonly #stopController = new AbortController();
  readonly #stopListening: () => void;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
    this.#orderTimeoutMilliseconds = options.orderTimeoutMilliseconds ??
      orderTimeoutMilliseconds;
    this.#timers = options.timers ?? systemTimers;
    this.#stopListening = options.control.onChange((state) =>
      this.#update(state)
    );
    this.#update(options.control.state);
  }

  /**
   * Issues an order after those before it. Throws an EngineOrderError if it was refused and an
   * UpstreamError if the engine did not answer.
   */
  issue(upstream: UpstreamName, order: EngineOrder): Promise<void> {
    const previous = this.#queues.get(upstream) ?? Promise.resolve();
    const issued = previous.then(() => this.#issueNow(upstream, order));
    const settled = issued.catch(() => {});
    this.#queues.set(upstream, settled);
    void settled.then(() => {
      if (this.#queues.get(upstream) === settled) this.#queues.delete(upstream);
    });
    return issued;
  }

  /** Whether this instance coordinates the engine as far as it has read the log. */
  isCoordinator(upstream: UpstreamName): boolean {
    return this.#ownerships.has(upstream);
  }

  /**
   * Resolves once no order of an earlier coordinator can arrive any more. What the engine holds
   * after this is changed by this instance alone. Throws an EngineOrderError if the ownership
   * has ended meanwhile.
   */
  async whenReady(name: UpstreamName): Promise<void> {
    await this.#acquireOwnership(name);
  }

  stop(): void {
    this.#stopListening();
    this.#stopController.abort();
  }

  #update(state: ControlState): void {
    const { instance, ownerOf } = this.#options;
    const incarnation = this.#options.incarnation();
    // A restarted instance reads that its earlier incarnation owned engines; it does not.
    const isMember = state.members.get(instance)?.incarnation === incarnation;
    for (const upstream of state.configuration.upstreams.values()) {
      if (upstream.kind !== "engine") continue;
      const { name } = upstream;
      const isOwner = isMember && ownerOf(state, name) === instance;
      if (!isOwner) this.#ownerships.delete(name);
      else if (this.#ownerships.get(name)?.incarnation !== incarnation) {
        this.#ownerships.set(name, {
          incarnation,
          fencingToken: state.membershipOffset,
          predecessorFinished: undefined,
        });
      }
    }
    for (const name of this.#ownerships.keys()) {
      if (!state.configuration.upstreams.has(name)) {
        this.#ownerships.delete(name);
      }
    }
  }

  async #issueNow(name: UpstreamName, order: EngineOrder): Promise<void> {
    await this.#send(name, await this.#acquireOwnership(name), order);
  }

  /** The ownership under which orders may be issued, after the wait for the predecessor. */
  async #acquireOwnership(name: UpstreamName): Promise<Ownership> {
    const ownership = this.#ownerships.get(name);
    const upstream = this.#options.control.state.configuration.upstreams.get(
      name,
    );
    if (!ownership || !upstream) throw notCoordinatorError(name);
    if (!upstream.checksFencing) {
      ownership.predecessorFinished ??= this.#waitForPredecessor(
        ownership.fencingToken,
      )
        .catch((error) => {
          ownership.predecessorFinished = undefined;
          throw error;
        });
      await ownership.predecessorFinished;
    }
    this.#checkOwnership(name, ownership);
    return ownership;
  }

  /** After this, every earlier coordinator has stopped issuing and its last order is over. */
  async #waitForPredecessor(fencingToken: Offset): Promise<void> {
    await this.#options.control.whenInForce(fencingToken);
    const { signal } = this.#stopController;
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        cancel();
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const cancel = this.#timers.after(this.#orderTimeoutMilliseconds, finish);
      signal.addEventListener("abort", finish);
    });
  }

  async #send(name: UpstreamName, ownership: Ownership, order: EngineOrder) {
    const body = JSON.stringify({
      order,
      fencingToken: ownership.fencingToken,
    });
    const response = await this.#options.caller.call({
      upstream: name,
      method: "POST",
      path: "/orders",
      headers: { "content-type": "application/json" },
      body: Buffer.from(body),
      requestId: brandAs<RequestId>(randomUUID()),
      isRepeatable: false,
      signal: AbortSignal.any([
        this.#stopController.signal,
        AbortSignal.timeout(this.#orderTimeoutMilliseconds),
      ]),
      checkBeforeSend: () => this.#checkOwnership(name, ownership),
    });
    let text = "";
    for await (const chunk of response.body) text += Buffer.from(chunk);
    const { status } = response;
    if (status >= 200 && status < 300) return;
    throw new EngineOrderError(
      status === 409 ? "order_fenced" : "order_refused",
      `engine ${name} answered ${status}: ${
        text.slice(0, maximumQuotedCharacters)
      }`,
    );
  }

  /** Made in the turn in which the order is written: the wait or a pause may have been long. */
  #checkOwnership(name: UpstreamName, ownership: Ownership): void {
    if (
      this.#stopController.signal.aborted ||
      this.#ownerships.get(name) !== ownership ||
      !this.#options.control.isFresh()
    ) throw notCoordinatorError(name);
  }
}

function notCoordinatorError(upstream: UpstreamName): EngineOrderError {
  return new EngineOrderError(
    "not_coordinator",
    `this instance does not coordinate engine ${upstream}`,
  );
}
