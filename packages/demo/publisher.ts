/** Publishes documents by running the operators' tool, as an operator does. */

import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import { RosemaryrudderError } from "../common/errors.ts";
import { programPath } from "./program-path.ts";

const execute = promisify(execFile);

export interface PublisherOptions {
  directory: string;
  logUrl: string;
}

export interface PublishResult {
  /** Path of the document that was published. */
  readonly document: string;
  readonly output: string;
}

export class Publisher {
  readonly #options: PublisherOptions;
  readonly #keyFiles = new Map<string, string>();

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  get documentPath(): string {
    return join(this.#options.directory, "document.yaml");
  }

  /** Writes the teams' private keys, which sign the published sections, to files. */
  setTeamKeys(keys: ReadonlyMap<string, { privateKeyPem: string }>): void {
    for (const [team, { privateKeyPem }] of keys) {
      const file = join(this.#options.directory, `${team}.pem`);
      writeFileSync(file, privateKeyPem, { mode: 0o600 });
      this.#keyFiles.set(team, file);
    }
  }

  /** Command line of the operators' tool; the caller appends the document's path. */
  get command(): string[] {
    return [
      process.execPath,
      programPath("operator"),
      "publish",
      "--log",
      this.#options.logUrl,
      ...[...this.#keyFiles.values()].flatMap((
        file,
      ) => ["--signing-key", file]),
    ];
  }

  async publish(documentText: string): Promise<PublishResult> {
    writeFileSync(this.documentPath, documentText);
    const [program = "", ...args] = this.command;
    try {
      const { stdout } = await execute(program, [...args, this.documentPath]);
      return { document: this.documentPath, output: stdout };
    } catch (cause) {
      const { stderr = "", stdout = "" } = cause as Record<string, string>;
      throw new RosemaryrudderError(
        "publish_failed",
        `the operators' tool failed: ${stderr}${stdout}`,
        { cause },
      );
    }
  }
}
