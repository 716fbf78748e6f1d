/**
 * Publishes signed sections by appending them to the log. Tests and measurements use it because
 * starting the operators' tool for each change would cost more than the change that they measure.
 */

import process from "node:process";
import { brandAs, type StreamName, type WriterId } from "../common/ids.ts";
import { signPublish } from "../control/signing.ts";
import type { PublishedFleet } from "./published-fleet.ts";
import { GroupCommitWriter } from "../log/group-commit-writer.ts";
import { HttpLogClient } from "../log/log-client.ts";

let writerCount = 0;

export interface DirectPublisherOptions {
  published: PublishedFleet;
  /** Version that all sections have when the publisher starts; 0 before the first publish. */
  initialVersion?: number;
}

export class DirectPublisher {
  readonly #published: PublishedFleet;
  readonly #client: HttpLogClient;
  readonly #writer: GroupCommitWriter;
  readonly #versions = new Map<string, number>();
  readonly #initialVersion: number;

  constructor(options: DirectPublisherOptions) {
    this.#published = options.published;
    this.#initialVersion = options.initialVersion ?? 1;
    this.#client = new HttpLogClient({
      baseUrl: options.published.fleet.log.url,
    });
    this.#writer = new GroupCommitWriter({
      client: this.#client,
      stream: brandAs<StreamName>("control"),
      writer: brandAs<WriterId>(
        `publisher-${process.pid}-${Date.now()}-${++writerCount}`,
      ),
    });
  }

  /** Latest version of each section that this publisher has published. */
  get versions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  /** Publishes the section as it stands in the prepared document. */
  async publish(section: string): Promise<void> {
    const { document, teamKeys } = this.#published.prepared;
    const baseVersion = this.#versions.get(section) ??
      this.#initialVersion;
    const team =
      document.platform.teams.find(({ sections }) => sections.includes(section))
        ?.name ?? "";
    const publish = {
      section,
      baseVersion,
      body: JSON.stringify(document[section]),
    };
    const signature = signPublish(
      publish,
      teamKeys.get(team)?.privateKeyPem ?? "",
    );
    await this.#writer.append({
      type: "section-published",
      ...publish,
      team,
      signature,
    });
    this.#versions.set(section, baseVersion + 1);
  }

  async dispose(): Promise<void> {
    this.#writer.close();
    await this.#client.close();
  }
}
