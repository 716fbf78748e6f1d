/** Tests that an inconsistent document is refused with the path of each problem. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { brandAs, type JobId, type SectionName } from "../common/ids.ts";
import {
  buildConfiguration,
  emptySectionValues,
  isJobCancelled,
  replaceSection,
} from "./configuration.ts";
import { platformBody, workspaceBody } from "./testing/documents.ts";

const hash = "ab".repeat(32);
const validNorth = {
  workspaces: [{
    ...workspaceBody("walnut"),
    keys: [{ id: "k1", sha256: hash }],
  }],
  routes: [{
    id: "scale",
    pathPrefix: "/scale",
    upstreams: ["scale-1"],
    workspaces: ["walnut"],
  }],
  cancelledJobs: ["job-1"],
};

function build(sections: Record<string, unknown>, partitions?: number) {
  let values = emptySectionValues;
  for (const [name, body] of Object.entries(sections)) {
    const replaced = replaceSection(values, brandAs<SectionName>(name), body);
    if (!replaced.value) return replaced;
    values = replaced.value;
  }
  return buildConfiguration(values, { sectionVersions: new Map(), partitions });
}

test("a valid document is indexed", () => {
  const { value } = build({
    platform: platformBody(),
    north: validNorth,
    south: { workspaces: [workspaceBody("saathi")] },
  });
  assert.ok(value);
  const [walnut, saathi] = [...value.workspaces.keys()];
  assert.equal(value.keys.get(hash)?.workspace, walnut);
  assert.equal(value.engines.size, 1);
  // One team must not be able to cancel the jobs of another.
  assert.ok(walnut && saathi);
  const job = brandAs<JobId>("job-1");
  assert.equal(isJobCancelled(value, walnut, job), true);
  assert.equal(isJobCancelled(value, saathi, job), false);
});

const route = { id: "r", pathPrefix: "/r", upstreams: ["scale-1"] };
const platform = platformBody();
const refused: [string, Record<string, unknown>, string, RegExp][] = [
  [
    "an unknown field",
    { north: { workspace: [] } },
    "north.workspace",
    /not a known field/,
  ],
  [
    "a model that no engine serves",
    { north: { workspaces: [{ ...workspaceBody("a"), models: ["m2"] }] } },
    "north.workspaces.0.models.0",
    /no engine serves 'm2'/,
  ],
  [
    "a workspace id that another section uses",
    {
      north: { workspaces: [workspaceBody("a")] },
      south: { workspaces: [workspaceBody("a")] },
    },
    "south.workspaces.0.id",
    /already used by north\.workspaces\.0\.id/,
  ],
  [
    "a key that another workspace uses",
    {
      north: validNorth,
      south: {
        workspaces: [{
          ...workspaceBody("b"),
          keys: [{ id: "k", sha256: hash }],
        }],
      },
    },
    "south.workspaces.0.keys.0.sha256",
    /already used by north\.workspaces\.0\.keys\.0/,
  ],
  [
    "a route to an engine",
    { north: { routes: [{ ...route, upstreams: ["engine-1"] }] } },
    "north.routes.0.upstreams.0",
    /not a plain service/,
  ],
  [
    "a route to an unknown upstream",
    { north: { routes: [{ ...route, upstreams: ["gone"] }] } },
    "north.routes.0.upstreams.0",
    /does not exist/,
  ],
  [
    "a route for an unknown workspace",
    { north: { routes: [{ ...route, workspaces: ["gone"] }] } },
    "north.routes.0.workspaces.0",
    /does not exist/,
  ],
  [
    "an open route with workspaces",
    {
      north: {
        ...validNorth,
        routes: [{ ...route, openToAll: true, workspaces: ["walnut"] }],
      },
    },
    "north.routes.0.workspaces",
    /open to all/,
  ],
  [
    "a route under /v1",
    { north: { routes: [{ ...route, pathPrefix: "/v1/files" }] } },
    "north.routes.0.pathPrefix",
    /collides with \/v1/,
  ],
  [
    "a route prefix with a '..' segment",
    { north: { routes: [{ ...route, pathPrefix: "/a/../v1" }] } },
    "north.routes.0.pathPrefix",
    /segments/,
  ],
  [
    "a duplicate path prefix",
    {
      north: { routes: [route] },
      south: { routes: [{ ...route, id: "r2" }] },
    },
    "south.routes.0.pathPrefix",
    /already used/,
  ],
  [
    "an invalid public key",
    {
      platform: {
        ...platform,
        teams: [{ name: "t", publicKey: "AAAA", sections: ["platform"] }],
      },
    },
    "platform.teams.0.publicKey",
    /Ed25519/,
  ],
  [
    "a section that two teams own",
    {
      platform: platformBody({
        operations: ["platform", "north"],
        north: ["north"],
      }),
    },
    "platform.teams.1.sections.0",
    /already used/,
  ],
  [
    "a platform section without an owner, which nobody could change",
    { platform: platformBody({ north: ["north"] }) },
    "platform.teams",
    /no team owns the section 'platform'/,
  ],
  [
    "a team that is removed while its section is in use",
    {
      platform: platformBody({ operations: ["platform"] }),
      north: validNorth,
    },
    "platform.teams",
    /no team owns the section 'north'/,
  ],
  [
    "a changed partition count, which would move every job",
    { platform: { ...platform, partitions: 16 } },
    "platform.partitions",
    /cannot change from 8 to 16/,
  ],
];

for (const [name, sections, path, reason] of refused) {
  test(`a document is refused for ${name}`, () => {
    const { problems } = build({ platform, ...sections }, 8);
    assert.ok(problems, "the document was accepted");
    const found = problems.find((problem) => problem.path === path);
    assert.match(found?.reason ?? JSON.stringify(problems), reason);
    assert.ok(!JSON.stringify(problems).includes(hash), "a key hash is shown");
  });
}
