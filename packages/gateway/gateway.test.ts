import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import type { RequestId } from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import { ConfigurationIndex } from "../fleet/configuration.ts";
import type { CallerCodec } from "./caller-request.ts";
import type { CallerResponse } from "./caller-response.ts";
import type { ErrorAnswer } from "./error-answer.ts";
import { Gateway, type GatewayOptions } from "./gateway.ts";

// Guards against an error that leaves a request without any answer.
test("a request that meets an unexpected error gets 500 and a log line with its id", () => {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 100 });
  blackboard.configuration = new ConfigurationIndex({
    version: 1,
    routes: [],
    services: [],
    workspaces: undefined,
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  });
  blackboard.hasServerList = true;
  blackboard.hasVerdicts = true;
  const logged: unknown[] = [];
  const logger: Logger = {
    ...silentLogger,
    error: (_, context) => logged.push(context?.["request"]),
  };
  const codec: Partial<CallerCodec> = {
    decodeRequestId: () => "id-1" as RequestId,
    decodeRequest: () => {
      throw new RangeError("unexpected");
    },
  };
  const gateway = new Gateway({
    blackboard,
    codec,
    metrics: { countRefusal: () => {} },
    logger,
  } as unknown as GatewayOptions);
  const answers: ErrorAnswer[] = [];
  const response: Partial<CallerResponse> = {
    fail: (answer) => void answers.push(answer),
  };
  gateway.handle(
    {} as IncomingMessage,
    Buffer.alloc(0),
    response as CallerResponse,
    0,
  );
  assert.deepEqual(answers.map(({ status }) => status), [500]);
  assert.deepEqual(logged, ["id-1"]);
});
