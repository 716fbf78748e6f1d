import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { systemClock } from "../common/clock.ts";
import { PeerUnavailableError } from "../common/errors.ts";
import type { InstanceId } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { definePeerMessage } from "../protocol/peer-message.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { suspicionMilliseconds } from "./constants.ts";
import { CoordinatorClient } from "./coordinator-client.ts";
import { idleState } from "./testing/idle-state.ts";

const question = definePeerMessage<null, string>(
  "question",
  () => null,
  String,
);
const slowQuestion = definePeerMessage<null, string>(
  "slow-question",
  () => null,
  String,
);
const [first, second, third] = ["a", "b", "c"] as InstanceId[];

/** A network on which the given instances do not reply; `asked` lists who was asked what. */
function createClient(
  silent: readonly (InstanceId | undefined)[],
  { hangs = () => false }: { hangs?: (type: string) => boolean } = {},
) {
  const asked: string[] = [];
  const settled: number[] = [];
  const network = {
    request: (
      instance: InstanceId,
      { type }: { type: string },
      body: { settledQuestion: number },
    ) => {
      asked.push(`${type} ${instance}`);
      if (type !== question.type && type !== slowQuestion.type) {
        settled.push(body.settledQuestion);
      }
      if (hangs(type)) return new Promise(() => {});
      return silent.includes(instance)
        ? Promise.reject(new PeerUnavailableError("no connection"))
        : Promise.resolve(
          type === question.type ? instance : { isStoreFailing: false },
        );
    },
    send: () => {},
  } as unknown as PeerNetwork;
  const state = { now: 0 };
  const client = new CoordinatorClient({
    network,
    coordinators: () => [first!, second!, third!],
    onStatements: () => {},
    state: () => idleState,
    clock: { ...systemClock, monotonicNow: () => state.now },
    logger: silentLogger,
  });
  const ask = (mayBeSlow = false) =>
    client.ask(question, () => null, (reply) => reply, {
      deadlineMilliseconds: 10,
      mayBeSlow,
    });
  return { client, asked, settled, ask, state };
}

test("a coordinator that does not reply is passed over for a while", async () => {
  const { asked, ask, state } = createClient([first]);
  assert.equal(await ask(), second);
  assert.equal(await ask(), second);
  assert.deepEqual(asked, ["question a", "question b", "question b"]);
  state.now += suspicionMilliseconds + 1;
  assert.equal(await ask(), second);
  assert.deepEqual(asked.slice(3), ["question a", "question b"]);
});

test("a call that may be slow does not make its coordinator suspect", async () => {
  const { asked, ask } = createClient([first]);
  assert.equal(await ask(true), second);
  assert.equal(await ask(true), second);
  assert.deepEqual(asked.slice(2), ["question a", "question b"]);
});

test("without any coordinator that replies, two are asked for each question", async () => {
  const { asked, ask } = createClient([first, second, third]);
  assert.equal(await ask(), undefined);
  assert.equal(asked.length, 2);
  assert.equal(await ask(), undefined);
  assert.ok(asked.length <= 4);
});

test("reports that nobody takes are repeated at an interval", async (context) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  context.after(() => mock.timers.reset());
  const { client, asked, state } = createClient([first, second, third]);
  client.start();
  for (let elapsed = 0; elapsed < 350; elapsed += 10) {
    state.now += 10;
    mock.timers.tick(10);
    for (let turn = 0; turn < 10; turn++) await Promise.resolve();
  }
  client.stop();
  assert.ok(asked.length >= 2 && asked.length <= 8, `${asked.length} reports`);
});

test("a call on a job that waits for a result does not keep the placed requests unsettled", async () => {
  const { client, settled, ask } = createClient([], {
    hangs: (type) => type === slowQuestion.type,
  });
  void client.ask(slowQuestion, () => null, (reply) => reply, {
    deadlineMilliseconds: 10_000,
    mayBeSlow: true,
  });
  await ask();
  await ask();
  client.start();
  await new Promise((resolve) => setTimeout(resolve, 20));
  client.stop();
  assert.equal(settled.at(-1), 2);
});
