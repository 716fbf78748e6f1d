/** Tests the caller-facing API over HTTP, with fakes for the router, the limiter and batch jobs. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { CallerError, UpstreamError } from "../common/errors.ts";
import {
  assertError,
  createUpstreamResponse,
  describeError,
  Fixture,
  helloRequest,
  key,
} from "./testing/fixture.ts";

test("a request with no valid key, over the rate limit or on a stale instance is refused and has not run", async (context) => {
  const fixture = await Fixture.start(context);
  const post = (headers: Record<string, string>) =>
    fixture.chat(helloRequest, { headers });
  await assertError(post({ authorization: "" }), "401 missing_key true");
  await assertError(
    post({ authorization: "Bearer no" }),
    "401 unknown_key true",
  );
  assert.equal(
    (await post({ authorization: "", "x-api-key": key })).status,
    200,
  );
  fixture.limitDecision = { admitted: false, retryAfterSeconds: 1.2 };
  const limited = await post({});
  assert.equal(limited.headers.get("retry-after"), "2");
  await assertError(limited, "429 rate_limited true");
  fixture.isFresh = false;
  const stale = await post({ authorization: "Bearer issued-a-moment-ago" });
  assert.equal(stale.headers.get("retry-after"), "1");
  await assertError(stale, "503 not_fresh true");
  assert.equal(fixture.chatRequests.length, 1);
});

test("a key withdrawn while the limiter is called starts no upstream attempt", async (context) => {
  const fixture = await Fixture.start(context, {
    limiter: {
      take: () => {
        fixture.removeKeys();
        return Promise.resolve({ admitted: true as const });
      },
    },
  });
  await assertError(fixture.chat(helloRequest), "401 unknown_key true");
  assert.equal(fixture.chatRequests.length, 0);
});

test("a chat response is forwarded completely, with the request id", async (context) => {
  const fixture = await Fixture.start(context);
  const response = await fixture.chat(helloRequest);
  assert.deepEqual(await response.json(), { ok: true });
  assert.equal(
    response.headers.get("x-request-id"),
    fixture.chatRequests[0]?.requestId,
  );
  assert.equal(fixture.chatRequests[0]?.prompt, "user\nhello\n");
  assert.equal(fixture.takenTokens, 1);
});

test("a stream that fails midway ends with an error event and a broken connection", async (context) => {
  const fixture = await Fixture.start(context);
  fixture.respond = () =>
    createUpstreamResponse(
      { "content-type": "text/event-stream" },
      "data: 1\n\n",
      new UpstreamError("upstream_truncated", "cut", { verdict: "ran" }),
    );
  const response = await fixture.chat({ ...helloRequest, stream: true });
  let text = "";
  await assert.rejects(async () => {
    for await (const chunk of response.body!) text += Buffer.from(chunk);
  });
  assert.match(text, /^data: 1\n\nevent: error\ndata: \{"error".*\}\n\n$/);
  assert.match(text, /"code":"upstream_truncated".*"not_run":false/);
});

test("a caller that disconnects aborts the upstream call", async (context) => {
  const fixture = await Fixture.start(context);
  const controller = new AbortController();
  const aborted = new Promise<void>((resolve) => {
    fixture.respond = (request) => {
      request.signal?.addEventListener("abort", () => resolve());
      controller.abort();
      return new Promise(() => {});
    };
  });
  await assert.rejects(
    fixture.chat(helloRequest, { signal: controller.signal }),
  );
  await aborted;
});

test("each kind of invalid chat request has its own error and takes no rate token", async (context) => {
  const fixture = await Fixture.start(context, {
    limits: { jsonBytes: 2_000 },
  });
  const cases: [unknown, string][] = [
    ['{"model": }', "400 invalid_json true"],
    ["[1]", "400 invalid_json true"],
    [{ messages: helloRequest.messages }, "400 missing_field true model"],
    [{ model: "tagger" }, "400 missing_field true messages"],
    [
      { ...helloRequest, messages: [{}] },
      "400 missing_field true messages[0].role",
    ],
    [{ ...helloRequest, stream: "yes" }, "400 invalid_field true stream"],
    [{ ...helloRequest, model: "none" }, "404 unknown_model true model"],
    [{ ...helloRequest, user: key }, "400 key_in_request true"],
    ["x".repeat(3_000), "413 body_too_large true"],
  ];
  for (const [body, expected] of cases) {
    await assertError(fixture.chat(body), expected);
  }
  assert.equal(fixture.takenTokens, 0);
  const response = await fixture.chat('{\n "a": tru }');
  const { error } = await response.json() as {
    error: { message: string; line: number };
  };
  assert.match(error.message, /position 8 \(line 2, column 7\)/);
  assert.equal(error.line, 2);
});

test("the verdict of a failed upstream call reaches the caller", async (context) => {
  const fixture = await Fixture.start(context);
  const failWith = (code: string, verdict: "not_run" | "unknown" | "ran") => {
    fixture.respond = () => {
      throw new UpstreamError(code, "failed", { verdict });
    };
    return fixture.chat(helloRequest).then(describeError);
  };
  assert.equal(
    await failWith("upstream_failed", "unknown"),
    "502 upstream_failed unknown",
  );
  assert.equal(
    await failWith("upstream_truncated", "ran"),
    "502 upstream_truncated false",
  );
  assert.equal(
    await failWith("upstream_not_admitted", "not_run"),
    "503 upstream_not_admitted true",
  );
  const refuse = (status: number) => {
    const body = '{"error":{"message":"too long"}}';
    fixture.respond = () => ({ ...createUpstreamResponse({}, body), status });
    return fixture.chat(helloRequest).then(describeError);
  };
  fixture.respond = () => createUpstreamResponse({ "x-name": "a\nb" }, "ok");
  await assertError(fixture.chat(helloRequest), "500 internal_error unknown");
  assert.equal(await refuse(400), "400 upstream_refused false");
  assert.equal(await refuse(401), "502 upstream_failed false");
  fixture.respond = () => {
    throw new TypeError("an unexpected error");
  };
  await assertError(fixture.chat(helloRequest), "500 internal_error unknown");
});

test("unknown paths and methods return errors in the common format", async (context) => {
  const fixture = await Fixture.start(context);
  const get = (path: string, method = "GET") =>
    fixture.fetch(path, { method }).then(describeError);
  assert.equal(await get("/v1/nothing"), "404 unknown_route true");
  assert.equal(
    await get("/v1/models", "DELETE"),
    "405 method_not_allowed true",
  );
  assert.equal(await get("/%zz"), "404 unknown_route true");
  assert.match(await get("/v1/files/%ff"), /^404/);
  const models = await (await fixture.fetch("/v1/models")).json() as {
    data: { id: string }[];
  };
  assert.deepEqual(models.data.map((model) => model.id), ["tagger"]);
});

test("a route forwards method, path, query, headers and body, but not the key", async (context) => {
  const fixture = await Fixture.start(context);
  const response = await fixture.fetch("/scale/lots/7?full=1", {
    method: "PUT",
    body: "weight",
    headers: { "x-copy": `a ${key}`, "x-lot": "7", "content-type": "text/x" },
  });
  assert.equal(response.status, 200);
  const [call] = fixture.routeRequests;
  assert.equal(call?.method, "PUT");
  assert.equal(call?.path, "/lots/7?full=1");
  assert.equal(Buffer.from(call?.body ?? []).toString(), "weight");
  assert.equal(call?.headers["x-lot"], "7");
  assert.equal(call?.headers["content-type"], "text/x");
  assert.doesNotMatch(JSON.stringify(call?.headers), new RegExp(key));

  assert.equal((await fetch(fixture.url + "/notices/a")).status, 200);
  assert.equal(fixture.routeRequests[1]?.path, "/notices/a");
  assert.equal(fixture.takenTokens, 1);
  const refused = (path: string) => fixture.fetch(path).then(describeError);
  assert.equal(await refused("/closed"), "403 route_not_allowed true");
  assert.equal(await refused("/scale/a%2f%2e%2e/b"), "400 invalid_path true");
  assert.equal(await refused(`/scale/${key}`), "400 key_in_request true");
  assert.equal((await fetch(fixture.url + "/scale")).status, 401);
  assert.equal(fixture.routeRequests.length, 2);
});

test("an upload is streamed in any order of its form fields", async (context) => {
  const fixture = await Fixture.start(context, { limits: { fileBytes: 100 } });
  const { configuration } = fixture;
  const upload = (...fields: [string, string | Blob][]) => {
    const body = new FormData();
    for (const [name, value] of fields) {
      if (typeof value === "string") body.append(name, value);
      else body.append(name, value, "lots.jsonl");
    }
    return fixture.fetch("/v1/files", { method: "POST", body });
  };
  const file = new Blob(["{}\n{}\n"]);
  const first = await upload(["purpose", "batch"], ["file", file]);
  assert.deepEqual(await first.json(), {
    id: "file-1",
    object: "file",
    bytes: 6,
    lines: 3,
    created_at: 1,
    expires_at: 9,
    filename: "lots.jsonl",
    purpose: "batch",
    status: "processed",
  });
  assert.equal(
    (await upload(["file", file], ["purpose", "batch"])).status,
    200,
  );
  assert.equal(fixture.uploads.length, 2);
  await assertError(upload(["file", file]), "400 missing_field true purpose");
  await assertError(
    upload(["purpose", "batch"]),
    "400 missing_field true file",
  );
  assert.deepEqual(
    await describeError(
      await upload(["purpose", "batch"], ["file", new Blob(["x".repeat(101)])]),
    ),
    "413 body_too_large true",
  );
  const broken = await fixture.fetch("/v1/files", {
    method: "POST",
    body: "--a\r\nbroken",
    headers: { "content-type": "multipart/form-data; boundary=a" },
  });
  await assertError(broken, "400 invalid_multipart true");
  assert.equal(fixture.uploads.length, 2);
  fixture.batch.createFile = async ({ content }) => {
    fixture.removeKeys();
    for await (const _chunk of content);
    return assert.fail("the upload with a withdrawn key was complete");
  };
  const withdrawn = await upload(["purpose", "batch"], ["file", file]);
  await assertError(withdrawn, "401 unknown_key true");
  fixture.configuration = configuration;
  const content = await fixture.fetch("/v1/files/file-1/content");
  assert.equal(await content.text(), "line 1\nline 2\n");
  assert.equal((await fixture.fetch("/v1/files/none")).status, 404);
});

test("batches are created, read, listed and cancelled as batch objects of the API", async (context) => {
  const fixture = await Fixture.start(context);
  const create = (body: unknown, headers: Record<string, string> = {}) =>
    fixture.fetch("/v1/batches", {
      method: "POST",
      body: JSON.stringify(body),
      headers,
    });
  const body = {
    input_file_id: "file-1",
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
    metadata: { truck: "7" },
  };
  const created = await (await create(body, { "idempotency-key": "k" }))
    .json() as Record<string, unknown>;
  assert.equal(created["object"], "batch");
  assert.equal(created["created_at"], 1_000);
  assert.equal(created["completion_window"], "24h");
  assert.deepEqual(created["request_counts"], {
    total: 3,
    completed: 1,
    failed: 1,
  });
  await create({ ...body, metadata: { truck: "8" } });
  const [first, second] = fixture.batchCalls as {
    fingerprint: string;
    idempotencyKey: string;
    deadline: number;
  }[];
  assert.equal(first?.idempotencyKey, "k");
  assert.notEqual(first?.fingerprint, second?.fingerprint);
  assert.ok(Math.abs(first!.deadline - Date.now() - 86_400_000) < 5_000);

  const invalid: [object, string][] = [
    [{ ...body, input_file_id: undefined }, "missing_field true input_file_id"],
    [{ ...body, endpoint: "/v1/none" }, "invalid_field true endpoint"],
    [
      { ...body, completion_window: undefined },
      "missing_field true completion_window",
    ],
    [
      { ...body, completion_window: "soon" },
      "invalid_field true completion_window",
    ],
    [
      { ...body, deadline: "2001-01-01T00:00:00Z" },
      "invalid_field true deadline",
    ],
    [{ ...body, metadata: { a: 1 } }, "invalid_field true metadata"],
  ];
  for (const [request, expected] of invalid) {
    await assertError(create(request), `400 ${expected}`);
  }
  const get = (path: string) =>
    fixture.fetch(path).then((response) => response.json()) as Promise<
      Record<string, unknown>
    >;
  assert.equal((await get("/v1/batches/job-1"))["id"], "job-1");
  assert.equal((await fixture.fetch("/v1/batches/none")).status, 404);
  const list = await get("/v1/batches?limit=2&after=job-0");
  assert.equal((list["data"] as unknown[]).length, 2);
  assert.equal(list["has_more"], true);
  assert.deepEqual(fixture.batchCalls.at(-1), { after: "job-0", limit: 3 });
  assert.equal((await fixture.fetch("/v1/batches?limit=0")).status, 400);
  const cancelled = await fixture.fetch("/v1/batches/job-1/cancel", {
    method: "POST",
  });
  assert.equal(
    (await cancelled.json() as Record<string, unknown>)["status"],
    "cancelling",
  );
  fixture.batch.getJob = () =>
    Promise.reject(
      new CallerError({ status: 503, code: "batch_unavailable", message: "m" }),
    );
  const unavailable = await fixture.fetch("/v1/batches/job-1");
  assert.equal(unavailable.headers.get("retry-after"), "1");
});
