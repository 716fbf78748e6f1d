/**
 * Indexes and validates the platform section on its own. The result is cached for as long as the
 * section stays the same, because most publishes change another section.
 */

import type { ValidationProblem } from "../common/errors.ts";
import type { ModelName, UpstreamName } from "../common/ids.ts";
import type { PlatformSection, Upstream } from "./document.ts";
import { type NameUse, reportDuplicateNames } from "./duplicate-names.ts";
import { parsePublicKey } from "./signing.ts";

export interface PlatformIndex {
  readonly upstreams: ReadonlyMap<UpstreamName, Upstream>;
  /** Engines that serve each model. */
  readonly engines: ReadonlyMap<ModelName, readonly Upstream[]>;
  readonly problems: readonly ValidationProblem[];
}

const emptyIndex: PlatformIndex = {
  upstreams: new Map(),
  engines: new Map(),
  problems: [],
};
const indexes = new WeakMap<PlatformSection, PlatformIndex>();

export function indexPlatform(
  platform: PlatformSection | undefined,
): PlatformIndex {
  if (!platform) return emptyIndex;
  let index = indexes.get(platform);
  if (!index) {
    index = createIndex(platform);
    indexes.set(platform, index);
  }
  return index;
}

function createIndex(platform: PlatformSection): PlatformIndex {
  const upstreams = new Map<UpstreamName, Upstream>();
  const engines = new Map<ModelName, Upstream[]>();
  for (const upstream of platform.upstreams) {
    upstreams.set(upstream.name, upstream);
    for (const model of new Set(upstream.models)) {
      const serving = engines.get(model);
      if (serving) serving.push(upstream);
      else engines.set(model, [upstream]);
    }
  }
  const problems = [
    ...reportDuplicateNames(listNameUses(platform)),
    ...platform.teams.flatMap(({ publicKey }, index) =>
      parsePublicKey(publicKey) ? [] : [{
        path: `platform.teams.${index}.publicKey`,
        reason: "is not an Ed25519 public key (SPKI in base64)",
      }]
    ),
    ...platform.upstreams.flatMap((upstream, index) =>
      checkUpstream(upstream, `platform.upstreams.${index}`)
    ),
  ];
  return { upstreams, engines, problems };
}

function* listNameUses(
  { teams, upstreams }: PlatformSection,
): Iterable<NameUse> {
  for (const [index, { name, sections }] of teams.entries()) {
    const path = `platform.teams.${index}`;
    yield { kind: "team", name, path: `${path}.name` };
    for (const [at, section] of sections.entries()) {
      const sectionPath = `${path}.sections.${at}`;
      yield { kind: "section", name: section, path: sectionPath };
    }
  }
  for (const [index, { name }] of upstreams.entries()) {
    yield { kind: "upstream", name, path: `platform.upstreams.${index}.name` };
  }
}

function checkUpstream(upstream: Upstream, path: string): ValidationProblem[] {
  const problems: ValidationProblem[] = [];
  const port = Number(upstream.address.split(":").at(-1));
  if (port < 1 || port > 65_535) {
    const reason = `port ${port} is not from 1 to 65535`;
    problems.push({ path: `${path}.address`, reason });
  }
  if (upstream.kind === "plain" && upstream.models.length > 0) {
    const reason = "a plain service must not list models";
    problems.push({ path: `${path}.models`, reason });
  }
  return problems;
}
