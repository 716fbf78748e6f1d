/** A CallerServer with fakes of the services that it uses, shared by the tests of this folder. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { TestContext } from "node:test";
import type {
  BatchService,
  FileDescription,
  JobDescription,
} from "../../batch/batch-service.ts";
import { sha256Hex } from "../../common/hashing.ts";
import type {
  Configuration,
  ControlView,
} from "../../control/control-state.ts";
import {
  platformSectionSchema,
  teamSectionSchema,
  type Upstream,
} from "../../control/document.ts";
import type { LimitDecision } from "../../limits/limiter.ts";
import type {
  OnlineChatRequest,
  OnlineRouter,
  OnlineRouteRequest,
  UpstreamResponse,
} from "../../routing/upstream-caller.ts";
import {
  CallerServer,
  type CallerServerOptions,
} from "../server/caller-server.ts";

export const key = "walnut-key-0123456789";

export function createConfiguration(): Configuration {
  const platform = platformSectionSchema.parse({
    teams: [{ name: "platform", publicKey: "k", sections: ["platform"] }],
    upstreams: [
      {
        name: "e1",
        kind: "engine",
        address: "127.0.0.1:1",
        models: ["tagger"],
        concurrency: 4,
      },
      { name: "s1", kind: "plain", address: "127.0.0.1:2", concurrency: 4 },
    ],
  });
  const section = teamSectionSchema.parse({
    workspaces: [
      {
        id: "walnut",
        ratePerSecond: 10,
        burst: 10,
        keys: [{ id: "k1", sha256: sha256Hex(key) }],
      },
    ],
    routes: [
      { id: "scale", pathPrefix: "/scale", upstreams: ["s1"] },
      {
        id: "notices",
        pathPrefix: "/notices",
        upstreams: ["s1"],
        openToAll: true,
        stripPrefix: false,
      },
      {
        id: "closed",
        pathPrefix: "/closed",
        upstreams: ["s1"],
        workspaces: ["other"],
      },
    ],
  });
  const workspace = section.workspaces[0]!;
  const engines = platform.upstreams.filter((entry) => entry.kind === "engine");
  return {
    platform,
    sectionVersions: new Map(),
    workspaces: new Map([[workspace.id, workspace]]),
    workspaceSections: new Map(),
    cancelledJobsBySection: new Map(),
    keys: new Map([[sha256Hex(key), {
      workspace: workspace.id,
      key: workspace.keys[0]!.id,
    }]]),
    upstreams: new Map(platform.upstreams.map((entry) => [entry.name, entry])),
    engines: new Map([[
      engines[0]!.models[0]!,
      engines as readonly Upstream[],
    ]]),
    routes: section.routes,
    cancelledJobs: new Set(),
  };
}

/** Yields the parts of a response body in turn; a part that is an error is thrown. */
export async function* streamBody(
  ...parts: (string | Error)[]
): AsyncGenerator<Uint8Array> {
  for (const part of parts) {
    // Gives the server time to send the earlier parts before an error follows.
    await new Promise((resolve) => setTimeout(resolve, 5));
    if (part instanceof Error) throw part;
    yield Buffer.from(part);
  }
}

export function createUpstreamResponse(
  headers: Record<string, string>,
  ...parts: (string | Error)[]
): UpstreamResponse {
  return {
    upstream: "e1" as UpstreamResponse["upstream"],
    status: 200,
    headers,
    body: streamBody(...parts),
  };
}

export const job = {
  id: "job-1",
  workspace: "walnut",
  inputFile: "file-1",
  outputFile: "file-out",
  errorFile: "file-err",
  endpoint: "/v1/chat/completions",
  status: "in_progress",
  counts: { total: 3, completed: 1, failed: 1 },
  metadata: {},
  createdAt: 1_000_400,
  deadline: 1_000_400 + 86_400_000,
  endedAt: undefined,
  expiresAt: undefined,
} as unknown as JobDescription;

/** Starts the server and records what it passes to the fakes. */
export class Fixture {
  configuration = createConfiguration();
  isFresh = true;
  limitDecision: LimitDecision = { admitted: true };
  takenTokens = 0;
  chatRequests: OnlineChatRequest[] = [];
  routeRequests: OnlineRouteRequest[] = [];
  uploads: { filename: string; content: string }[] = [];
  batchCalls: unknown[] = [];
  respond: (
    request: OnlineChatRequest | OnlineRouteRequest,
  ) => Promise<UpstreamResponse> | UpstreamResponse = () =>
    createUpstreamResponse(
      { "content-type": "application/json" },
      '{"ok":',
      "true}",
    );

  readonly control = {
    get state() {
      return undefined as never;
    },
    isFresh: () => this.isFresh,
  } as unknown as ControlView;

  readonly router: OnlineRouter = {
    chat: async (request) => {
      request.checkBeforeAttempt();
      this.chatRequests.push(request);
      return await this.respond(request);
    },
    route: async (request) => {
      request.checkBeforeAttempt();
      this.routeRequests.push(request);
      return await this.respond(request);
    },
  };

  batch = {
    createFile: async ({ filename, content, workspace }) => {
      const chunks: Uint8Array[] = [];
      for await (const chunk of content) chunks.push(chunk);
      const text = Buffer.concat(chunks).toString();
      this.uploads.push({ filename, content: text });
      return {
        id: "file-1",
        workspace,
        filename,
        purpose: "batch",
        bytes: text.length,
        lines: text.split("\n").length,
        createdAt: 1_500,
        expiresAt: 9_500,
      } as FileDescription;
    },
    getFile: () => Promise.resolve(undefined),
    readFile: () => Promise.resolve(streamBody("line 1\n", "line 2\n")),
    createJob: (options) => {
      this.batchCalls.push(options);
      return Promise.resolve(job);
    },
    getJob: (_workspace, id) =>
      Promise.resolve(id === job.id ? job : undefined),
    listJobs: (_workspace, options) => {
      this.batchCalls.push(options);
      return Promise.resolve([job, job, job].slice(0, options.limit));
    },
    cancelJob: () => Promise.resolve({ ...job, status: "cancelling" }),
  } as BatchService;

  url = "";
  server!: CallerServer;

  static async start(
    context: TestContext,
    options: Partial<CallerServerOptions> = {},
  ): Promise<Fixture> {
    const fixture = new Fixture();
    Object.defineProperty(fixture.control, "state", {
      get: () => ({ configuration: fixture.configuration }),
    });
    fixture.server = new CallerServer({
      host: "127.0.0.1",
      port: 0,
      control: fixture.control,
      limiter: {
        take: () => {
          fixture.takenTokens += 1;
          return Promise.resolve(fixture.limitDecision);
        },
      },
      router: fixture.router,
      batch: fixture.batch,
      ...options,
    });
    fixture.url = `http://127.0.0.1:${await fixture.server.listen()}`;
    context.after(() => fixture.server.close());
    return fixture;
  }

  fetch(path: string, options: RequestInit = {}): Promise<Response> {
    const headers = new Headers(options.headers);
    if (!headers.has("authorization")) {
      headers.set("authorization", `Bearer ${key}`);
    }
    return fetch(this.url + path, { ...options, headers });
  }

  chat(body: unknown, options: RequestInit = {}): Promise<Response> {
    return this.fetch("/v1/chat/completions", {
      ...options,
      method: "POST",
      body: typeof body === "string" ? body : JSON.stringify(body),
    });
  }

  removeKeys(): void {
    this.configuration = { ...this.configuration, keys: new Map() };
  }
}

export const helloRequest = {
  model: "tagger",
  messages: [{ role: "user", content: "hello" }],
};

/** Status, code, `not_run` and field of an error, separated by spaces. */
export async function describeError(response: Response) {
  const { error } = await response.json() as {
    error: { code: string; not_run: unknown; param: unknown };
  };
  return [response.status, error.code, error.not_run, error.param ?? ""]
    .join(" ").trim();
}

export async function assertError(
  response: Response | Promise<Response>,
  expected: string,
): Promise<void> {
  assert.equal(await describeError(await response), expected);
}
