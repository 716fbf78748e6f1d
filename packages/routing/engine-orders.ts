/**
 * Issues orders to engines, such as loading a model. Only the coordinator of an engine issues
 * them, one at a time, with the control offset of its ownership as fencing token. For an engine
 * that ignores the token, a new coordinator first waits until no order of its predecessor can
 * still be in flight.
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

/** An order was not issued or was refused; codes: not_coordinator, order_fenced, order_refused. */
export class EngineOrderError extends RosemaryrudderError {}

export interface EngineOrdersOptions {
  control: ControlView;
  caller: UpstreamCaller;
  instance: InstanceId;
  incarnation: () => Incarnation;
  /** Returns the coordinator of an upstream according to a control state. */
  ownerOf: (
    state: ControlState,
    upstream: UpstreamName,
  ) => InstanceId | undefined;
  orderTimeoutMilliseconds?: number;
  timers?: Timers;
}

interface Ownership {
  readonly incarnation: Incarnation;
  /** Control offset at which this instance became the coordinator. */
  readonly fencingToken: Offset;
  /** Resolves when orders of earlier coordinators can no longer arrive. */
  predecessorFinished: Promise<void> | undefined;
}

export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #orderTimeoutMilliseconds: number;
  readonly #timers: Timers;
  readonly #ownerships = new Map<UpstreamName, Ownership>();
  /** The last order to each upstream; the next order waits until it has settled. */
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
   * Issues an order after all earlier orders to the same upstream. Throws an EngineOrderError if
   * the order was refused and an UpstreamError if the engine did not respond.
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

  /** Whether this instance coordinates the engine, according to the part of the log read so far. */
  isCoordinator(upstream: UpstreamName): boolean {
    return this.#ownerships.has(upstream);
  }

  /**
   * Resolves once orders of earlier coordinators can no longer arrive. From then on, only this
   * instance changes what the engine has loaded. Throws an EngineOrderError if the ownership has
   * ended in the meantime.
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
    // After a restart, the control state may still name the earlier incarnation as the member.
    // The engines that it owned are not owned by this incarnation.
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

  /** Waits for the predecessor if necessary and returns the ownership to issue orders under. */
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

  /**
   * Waits until every earlier coordinator has stopped issuing orders and its last order has
   * ended: the ownership must be in force, and then one order timeout must pass.
   */
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
      `engine ${name} responded with status ${status}: ${
        text.slice(0, maximumQuotedCharacters)
      }`,
    );
  }

  /**
   * Called in the same event loop turn in which the order is written, because the ownership may
   * have changed during a long wait or a pause of the process.
   */
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
