import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { JobAdmission, reserveTokensMessage } from "./job-admission.ts";
import type { JobPartitions } from "./job-partition.ts";
import type { TokenDecision, TokenDemand } from "./waiting-tokens.ts";

const self = "self" as InstanceId;
const demand: TokenDemand = {
  job: "new" as JobId,
  workspace: "w" as WorkspaceId,
  route: "r" as RouteId,
  tokens: 50,
  maximumTokens: 100,
};

/** One partition with a job of 80 waiting tokens, which is known only once it has been read. */
function createAdmission() {
  const state = { isLoaded: false, canRead: true };
  const job = {
    record: { workspace: "w", route: "r" },
    totalTokens: 80,
    finishedTokens: 0,
    isEnded: false,
  };
  const partition = {
    get isLoaded() {
      return state.isLoaded;
    },
    catchUp: () => {
      state.isLoaded = state.canRead;
      return Promise.resolve(state.canRead);
    },
    job: () => undefined,
    state: { jobs: () => state.isLoaded ? [job] : [] },
  };
  const partitions = {
    all: () => [partition],
    forJob: () => partition,
  } as unknown as JobPartitions;
  const handlers = new Map<
    string,
    (body: TokenDemand) => TokenDecision | Promise<TokenDecision>
  >();
  const network = {
    handle: (
      { type }: { type: string },
      handler: (body: TokenDemand) => TokenDecision,
    ) => handlers.set(type, handler),
  } as unknown as PeerNetwork;
  const admission = new JobAdmission({
    instance: self,
    network,
    partitions,
    candidates: () => [self],
    now: () => 0,
    logger: silentLogger,
  });
  const decideForPeer = async () =>
    await handlers.get(reserveTokensMessage.type)!(demand);
  return { admission, decideForPeer, state };
}

test("an instance that has not read all jobs yet reads them before it decides", async () => {
  const { admission } = createAdmission();
  const decision = await admission.reserve(demand);
  assert.equal(decision.isAdmitted, false);
});

test("an instance that cannot read the jobs decides for no one", async () => {
  const { admission, decideForPeer, state } = createAdmission();
  state.canRead = false;
  await assert.rejects(decideForPeer(), /cannot be read/);
  await assert.rejects(admission.reserve(demand), /cannot be read/);
});

// Guards against a refusal whose Retry-After is no number.
test("a refusal without the time until the job fits is malformed", () => {
  const { parseReply } = reserveTokensMessage;
  const refusal = {
    isAdmitted: false as const,
    waitingTokens: 5,
    retryAfterMilliseconds: 7,
  };
  assert.deepEqual(parseReply(refusal), refusal);
  assert.deepEqual(parseReply({ isAdmitted: true }), { isAdmitted: true });
  assert.throws(() => parseReply({ isAdmitted: false }));
});
