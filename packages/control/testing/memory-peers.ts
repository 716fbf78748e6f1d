/** An in-memory peer network whose instances can be disconnected, for control state tests. */

import { PeerUnavailableError } from "../../common/errors.ts";
import type { Incarnation, InstanceId } from "../../common/ids.ts";
import type { PeerMessage } from "../../protocol/peer-message.ts";
import type { PeerHandler, PeerNetwork } from "../../protocol/peer-network.ts";

type AnyMessage = PeerMessage<unknown, unknown>;
type AnyHandler = PeerHandler<unknown, unknown>;

export class MemoryPeerNetworks {
  readonly #handlers = new Map<InstanceId, Map<string, AnyHandler>>();
  readonly #disconnected = new Set<InstanceId>();

  /** Cuts all links of the instance, as if its process were dead or partitioned. */
  disconnect(instance: InstanceId): void {
    this.#disconnected.add(instance);
  }

  reconnect(instance: InstanceId): void {
    this.#disconnected.delete(instance);
  }

  connect(self: InstanceId, incarnation: () => Incarnation): PeerNetwork {
    const handlers = new Map<string, AnyHandler>();
    this.#handlers.set(self, handlers);
    const deliver = async (
      instance: InstanceId,
      message: AnyMessage,
      body: unknown,
    ) => {
      if (this.#disconnected.has(self) || this.#disconnected.has(instance)) {
        throw new PeerUnavailableError("the link is cut");
      }
      const handler = this.#handlers.get(instance)?.get(message.type);
      if (!handler) throw new PeerUnavailableError("no such handler");
      const sender = { instance: self, incarnation: incarnation() };
      const reply = await handler(message.parseRequest(body), sender);
      return message.parseReply(reply);
    };
    return {
      send: (instance, message, body) => {
        deliver(instance, message as AnyMessage, body).catch(() => {});
      },
      request: (instance, message, body) =>
        deliver(instance, message as AnyMessage, body) as Promise<never>,
      handle: (message, handler) => {
        handlers.set(message.type, handler as AnyHandler);
      },
    };
  }
}
