/** Updates the addresses in the peer network whenever the members change. */

import type { InstanceId } from "../../common/ids.ts";
import type { ControlState } from "../../control/control-state.ts";
import type { PeerAddress } from "../../protocol/peer-connection.ts";
import type { Controller } from "../controller.ts";

export const peerController: Controller = {
  name: "peers",
  start({ blackboard, services, store }) {
    const update = (state: ControlState) => {
      services.network.setPeers(peerAddresses(state, blackboard.instance));
    };
    update(services.control.state);
    store.add(services.control.onChange(update));
  },
};

export function peerAddresses(
  state: ControlState,
  self: InstanceId,
): Map<InstanceId, PeerAddress> {
  const peers = [...state.members.values()].filter((member) =>
    member.instance !== self
  );
  return new Map(
    peers.map(({ instance, host, port }) => [instance, { host, port }]),
  );
}
