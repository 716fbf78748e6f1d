/** Large replies are read within the budget of held bytes. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { brandAs, type Incarnation, type InstanceId } from "../common/ids.ts";
import { HeldBytes } from "../overload/held-bytes.ts";
import { peerClient } from "../overload/client-id.ts";
import { definePeerMessage } from "./peer-message.ts";
import { TcpPeerNetwork } from "./peer-network.ts";

const asking = brandAs<InstanceId>("asking");
const answering = brandAs<InstanceId>("answering");
const incarnation = brandAs<Incarnation>("1");
const largeMessage = definePeerMessage(
  "test/large",
  z.object({ bytes: z.number() }).parse,
  z.object({ text: z.string() }).parse,
);
const limitBytes = 100_000;
const replyBytes = 400_000;

test("a reply for which the budget has no room is read later, and a peer that disconnects releases it", async () => {
  const heldBytes = new HeldBytes({ limitBytes });
  const left = new TcpPeerNetwork({ instance: asking, incarnation, heldBytes });
  const right = new TcpPeerNetwork({ instance: answering, incarnation });
  try {
    right.handle(largeMessage, ({ bytes }) => ({ text: "x".repeat(bytes) }));
    const port = await right.listen();
    left.setPeers(new Map([[answering, { host: "127.0.0.1", port }]]));
    const request = (bytes: number, deadlineMilliseconds = 1_000) =>
      left.request(answering, largeMessage, { bytes }, {
        deadlineMilliseconds,
      });
    // Another large reply, which alone may exceed the budget.
    const other = heldBytes.tryHold(
      { kind: "peer_reply", client: peerClient },
      limitBytes,
    );
    assert.ok(other);
    await assert.rejects(request(replyBytes, 200), {
      code: "peer_unavailable",
    });
    assert.equal(heldBytes.state.waitingHoldings, 1);
    assert.equal(heldBytes.state.heldBytes, limitBytes);
    const later = request(1);
    other.dispose();
    // Arrives after the large reply, so that the connection was kept and is read again.
    assert.equal((await later).text, "x");
    assert.equal(heldBytes.state.heldBytes, 0);
    assert.equal((await request(replyBytes)).text.length, replyBytes);
    assert.equal(heldBytes.state.heldBytes, 0);

    const blocking = heldBytes.tryHold(
      { kind: "peer_reply", client: peerClient },
      limitBytes,
    );
    const lost = assert.rejects(request(replyBytes, 5_000), {
      code: "peer_unavailable",
    });
    const isWaiting = () => heldBytes.state.waitingHoldings > 0;
    while (!isWaiting()) await sleep(5);
    left.reconnect(answering);
    await lost;
    blocking?.dispose();
    await sleep(20);
    assert.ok(!isWaiting());
    assert.equal(heldBytes.state.heldBytes, 0);
  } finally {
    await Promise.all([left.close(), right.close()]);
  }
});
