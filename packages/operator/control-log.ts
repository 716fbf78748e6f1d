/** Reads the control state from the log and appends publishes, each call with a time limit. */

import { randomUUID } from "node:crypto";
import { LogUnavailableError, RosemaryrudderError } from "../common/errors.ts";
import { brandAs, type Offset, type WriterId } from "../common/ids.ts";
import { controlStream } from "../control/constants.ts";
import type { PublishVerdict } from "../control/reduced-state.ts";
import { type PublishContent, publishId } from "../control/signing.ts";
import {
  ControlStateBuilder,
  readControlState,
} from "../control/state-builder.ts";
import {
  GroupCommitWriter,
  WriterClosedError,
} from "../log/group-commit-writer.ts";
import type { LogClient } from "../log/log-client.ts";

const retryDelayMilliseconds = 200;

export interface SignedPublish extends PublishContent {
  readonly team: string;
  readonly signature: string;
}

export class ControlLog {
  readonly #client: LogClient;
  readonly #timeoutMilliseconds: number;
  readonly #builder = new ControlStateBuilder();

  constructor(client: LogClient, timeoutSeconds: number) {
    this.#client = client;
    this.#timeoutMilliseconds = timeoutSeconds * 1_000;
  }

  get state() {
    return this.#builder.state;
  }

  /** Reads up to the current end of the control stream. */
  async refresh(): Promise<void> {
    const deadline = performance.now() + this.#timeoutMilliseconds;
    while (true) {
      try {
        await readControlState(this.#client, this.#builder);
        break;
      } catch (error) {
        if (!(error instanceof LogUnavailableError)) throw error;
        if (performance.now() > deadline) throw error;
        await sleep(retryDelayMilliseconds);
      }
    }
    if (this.#builder.isComplete) return;
    throw new RosemaryrudderError(
      "no_checkpoint",
      "older records of the control stream are gone and no checkpoint is left",
    );
  }

  /** Returns the verdict on a publish whose record has been read, or undefined. */
  verdictOn(content: PublishContent): PublishVerdict | undefined {
    return this.state.verdicts.get(publishId(content))?.verdict;
  }

  /**
   * Appends a publish, reads the record back and returns the verdict. After a timeout the
   * publish may still take effect; repeating it is safe, because it is identified by its hash.
   */
  async publish(entry: SignedPublish): Promise<PublishVerdict> {
    const offset = await this.#append({ type: "section-published", ...entry });
    await this.refresh();
    while (this.state.appliedOffset < offset) {
      await sleep(retryDelayMilliseconds);
      await this.refresh();
    }
    const verdict = this.verdictOn(entry);
    if (!verdict) {
      throw new RosemaryrudderError(
        "no_verdict",
        `the record at offset ${offset} has no verdict`,
      );
    }
    return verdict;
  }

  async #append(entry: unknown): Promise<Offset> {
    const writer = new GroupCommitWriter({
      client: this.#client,
      stream: controlStream,
      writer: brandAs<WriterId>(`operator/${randomUUID()}`),
    });
    const timer = setTimeout(() => writer.close(), this.#timeoutMilliseconds);
    try {
      return await writer.append(entry);
    } catch (error) {
      if (!(error instanceof WriterClosedError)) throw error;
      throw new LogUnavailableError(
        "the log did not answer in time; the publish may still take effect, " +
          "and repeating the command is safe",
        { mayHaveTakenEffect: true },
      );
    } finally {
      clearTimeout(timer);
    }
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
