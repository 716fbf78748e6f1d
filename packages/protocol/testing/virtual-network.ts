/**
 * Simulates the network between instances in memory and in virtual time, with latency, loss, pauses
 * and crashes. Bodies are encoded and parsed as on the wire.
 */

import { decode, encode } from "cbor-x";
import { PeerUnavailableError } from "../../common/errors.ts";
import type { Incarnation, InstanceId } from "../../common/ids.ts";
import type { VirtualTime } from "../../common/testing/virtual-time.ts";
import type { Timers } from "../../common/timers.ts";
import type { PeerMessage } from "../peer-message.ts";
import type { PeerHandler, PeerNetwork } from "../peer-network.ts";

export interface VirtualNetworkOptions {
  time: VirtualTime;
  /** Latency of one message in milliseconds. */
  latency: () => number;
  /** Whether a message is lost. */
  isLost?: () => boolean;
}

/** A simulated process: its network and its timers, held up by a pause and ended by a crash. */
export class VirtualProcess implements PeerNetwork, Timers {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly #network: VirtualNetwork;
  readonly #handlers = new Map<string, {
    message: PeerMessage<unknown, unknown>;
    handler: PeerHandler<unknown, unknown>;
  }>();
  #isCrashed = false;
  #isPaused = false;
  #delayedActions: (() => void)[] = [];

  constructor(
    network: VirtualNetwork,
    instance: InstanceId,
    incarnation: Incarnation,
  ) {
    this.#network = network;
    this.instance = instance;
    this.incarnation = incarnation;
  }

  get isRunning(): boolean {
    return !this.#isCrashed && !this.#isPaused;
  }

  crash(): void {
    this.#isCrashed = true;
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    const actions = this.#delayedActions;
    this.#delayedActions = [];
    for (const action of actions) this.execute(action);
  }

  /** Runs the action now, at the end of a pause, or never after a crash. */
  execute(action: () => void): void {
    if (this.#isCrashed) return;
    if (this.#isPaused) this.#delayedActions.push(action);
    else action();
  }

  after(milliseconds: number, action: () => void): () => void {
    return this.#network.options.time.after(
      milliseconds,
      () => this.execute(action),
    );
  }

  defer(action: () => void): void {
    this.after(0, action);
  }

  handle<Request, Reply>(
    message: PeerMessage<Request, Reply>,
    handler: PeerHandler<Request, Reply>,
  ): void {
    this.#handlers.set(message.type, { message, handler } as never);
  }

  send<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
  ): void {
    const bytes = encode(body);
    this.#network.deliver(instance, (receiver) => {
      receiver.#dispatch(message.type, bytes, this).catch(() => {});
    });
  }

  request<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
    { deadlineMilliseconds }: { deadlineMilliseconds: number },
  ): Promise<Reply> {
    const bytes = encode(body);
    return new Promise((resolve, reject) => {
      const fail = () =>
        reject(new PeerUnavailableError("no reply before the deadline"));
      const cancelTimeout = this.after(deadlineMilliseconds, fail);
      this.#network.deliver(instance, async (receiver) => {
        const reply = encode(
          await receiver.#dispatch(message.type, bytes, this),
        );
        this.#network.deliver(this.instance, () => {
          cancelTimeout();
          resolve(message.parseReply(decode(reply)));
        }, this);
      });
    });
  }

  async #dispatch(
    type: string,
    bytes: Uint8Array,
    sender: VirtualProcess,
  ): Promise<unknown> {
    const registered = this.#handlers.get(type);
    if (!registered) throw new PeerUnavailableError(`no handler for ${type}`);
    const body = registered.message.parseRequest(decode(bytes));
    return await registered.handler(body, sender);
  }
}

export class VirtualNetwork {
  readonly options: Required<VirtualNetworkOptions>;
  readonly #processes = new Map<InstanceId, VirtualProcess>();
  messageCount = 0;

  constructor(options: VirtualNetworkOptions) {
    this.options = { isLost: () => false, ...options };
  }

  /** Starts a process; it replaces an earlier one of the same instance. */
  start(instance: InstanceId, incarnation: Incarnation): VirtualProcess {
    const process = new VirtualProcess(this, instance, incarnation);
    this.#processes.set(instance, process);
    return process;
  }

  /**
   * Runs the action at the process of the instance after the latency, unless the message is lost
   * or, if `expected` is given, another process has replaced that one.
   */
  deliver(
    instance: InstanceId,
    action: (receiver: VirtualProcess) => unknown,
    expected?: VirtualProcess,
  ): void {
    const { time, latency, isLost } = this.options;
    this.messageCount += 1;
    if (isLost()) return;
    time.after(latency(), () => {
      const receiver = this.#processes.get(instance);
      if (!receiver || (expected && expected !== receiver)) return;
      receiver.execute(() => void action(receiver));
    });
  }
}
