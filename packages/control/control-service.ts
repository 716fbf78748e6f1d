/**
 * Keeps the control state of one instance: follows the control stream, appends the instance's
 * membership records and tells whether the state is fresh enough to accept requests.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type WriterId,
  type ZoneId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import type { AppendBudget } from "../log/append-budget.ts";
import { GroupCommitWriter } from "../log/group-commit-writer.ts";
import type { LogClient, StoredRecord } from "../log/log-client.ts";
import { StreamReader } from "../log/stream-reader.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { controlStream, freshnessMilliseconds } from "./constants.ts";
import type {
  ControlListener,
  ControlState,
  ControlView,
} from "./control-state.ts";
import {
  createInitialState,
  type ReducedControlState,
} from "./reduced-state.ts";
import { applyStoredRecord } from "./reducer.ts";

export interface ControlIdentity {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly host: string;
  readonly port: number;
  readonly metricsUrl: string;
}

export interface ControlServiceOptions {
  identity: ControlIdentity;
  incarnation: Incarnation;
  client: LogClient;
  network: PeerNetwork;
  budget?: AppendBudget;
  clock?: Clock;
  logger?: Logger;
}

export class ControlService implements ControlView {
  readonly #options: ControlServiceOptions;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #store = new DisposableStore();
  readonly #reader: StreamReader;
  readonly #writer: GroupCommitWriter;
  readonly #listeners = new Set<ControlListener>();
  #state: ReducedControlState = createInitialState();
  #freshUntil = Number.NEGATIVE_INFINITY;
  #hasCaughtUp = false;

  constructor(options: ControlServiceOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#logger = options.logger ?? silentLogger;
    this.#reader = new StreamReader({
      client: options.client,
      stream: controlStream,
      clock: this.#clock,
      logger: this.#logger,
      onRecord: (record) => this.#apply(record),
      onEndSeen: (_end, sentAt) => {
        this.#freshUntil = sentAt + freshnessMilliseconds;
        this.#hasCaughtUp = true;
      },
    });
    this.#writer = new GroupCommitWriter({
      client: options.client,
      stream: controlStream,
      writer: brandAs<WriterId>(
        `${options.identity.instance}/${options.incarnation}`,
      ),
      clock: this.#clock,
      logger: this.#logger,
      ...(options.budget ? { budget: options.budget } : {}),
    });
    this.#store.add(() => this.#writer.close());
    this.#store.add(() => this.#reader.stop());
  }

  get state(): ReducedControlState {
    return this.#state;
  }

  start(): void {
    this.#reader.start();
  }

  async stop(): Promise<void> {
    await this.#store.dispose();
  }

  isFresh(): boolean {
    return this.#clock.monotonicNow() <= this.#freshUntil;
  }

  onChange(listener: ControlListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  async whenInForce(offset: Offset): Promise<void> {
    await this.#waitFor((state) => state.appliedOffset >= offset);
    await new Promise((resolve) => setTimeout(resolve, freshnessMilliseconds));
  }

  async waitUntilCaughtUp(): Promise<void> {
    while (!this.#hasCaughtUp) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  /** Appends the membership record and waits until it was read back. */
  async join(): Promise<void> {
    const { identity, incarnation } = this.#options;
    await this.#writer.append({
      type: "member-joined",
      ...identity,
      incarnation,
    });
    await this.#waitFor((state) =>
      state.members.get(identity.instance)?.incarnation === incarnation
    );
  }

  async announceLeaving(): Promise<void> {
    await this.#appendOwn("member-leaving");
  }

  async leave(): Promise<void> {
    await this.#appendOwn("member-left");
  }

  async #appendOwn(type: "member-leaving" | "member-left"): Promise<void> {
    const { identity: { instance }, incarnation } = this.#options;
    await this.#writer.append({ type, instance, incarnation });
  }

  #apply(record: StoredRecord): void {
    const previous = this.#state;
    const next = applyStoredRecord(previous, record);
    this.#state = next;
    if (
      next.configuration === previous.configuration &&
      next.members === previous.members
    ) return;
    for (const listener of [...this.#listeners]) listener(next, previous);
  }

  async #waitFor(condition: (state: ControlState) => boolean): Promise<void> {
    while (!condition(this.#state)) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }
}
