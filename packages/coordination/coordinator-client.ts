/**
 * A dependent's side of the coordination: asks the nearest coordinator that replies, and reports
 * the loads of this instance to it. A coordinator that does not reply is suspected for a while;
 * nothing waits for it longer than one timeout.
 */

import type { Clock } from "../common/clock.ts";
import { PeerUnavailableError } from "../common/errors.ts";
import type { InstanceId, Offset } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { noBegunAnswers } from "../quarantine/messages.ts";
import { PeerHandlerError } from "../protocol/peer-connection.ts";
import { withoutEmptyLists } from "../protocol/optional-lists.ts";
import type { PeerMessage } from "../protocol/peer-message.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import {
  failingReportIntervalMilliseconds,
  idleReportIntervalMilliseconds,
  loadReportDelayMilliseconds,
  maximumAskedCoordinators,
  reportRetryMilliseconds,
  reportTimeoutMilliseconds,
  suspicionMilliseconds,
} from "./constants.ts";
import {
  type DependentReport,
  dependentReportMessage,
  type DependentReportReply,
  optionalDependentReportLists,
  undecidedCode,
} from "./messages.ts";

/** What the instance reports, apart from the questions that are settled. */
export type DependentState = Omit<
  DependentReport,
  "settledQuestion" | "knownStatementChanges"
>;

export interface CoordinatorClientOptions {
  readonly network: PeerNetwork;
  /** All coordinators but this instance, the preferred one first. */
  readonly coordinators: () => readonly InstanceId[];
  readonly state: () => DependentState;
  /** Called with what servers state, as a coordinator knows it. */
  readonly onStatements: (
    statements: Pick<DependentReportReply, "serverLimits" | "leavingServers">,
    coordinator: InstanceId,
  ) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export interface AskOptions {
  readonly deadlineMilliseconds: number;
  readonly maximumAsked?: number;
  /** The reply may depend on the store, so that its absence says nothing of the coordinator. */
  readonly mayBeSlow?: boolean;
  /** Whether the coordinator may receive the message; all may if not given. */
  readonly isAllowed?: (coordinator: InstanceId) => boolean;
}

interface CoordinatorState {
  suspectedUntil: number;
  isStoreFailing: boolean;
  /** State of what servers state that the coordinator has sent; -1 for none. */
  statementChanges: number;
}

export class CoordinatorClient {
  readonly #options: CoordinatorClientOptions;
  readonly #states = new Map<InstanceId, CoordinatorState>();
  readonly #openQuestions = new Set<number>();
  #lastQuestion = 0;
  /** When a coordinator last replied that it does not decide; monotonic milliseconds. */
  #lastUndecidedAt = Number.NEGATIVE_INFINITY;
  #reportTimer: NodeJS.Timeout | undefined;
  #reportAt = Number.POSITIVE_INFINITY;
  /** Receives the reports at present; told when another one takes over. */
  #coordinator: InstanceId | undefined;
  #isRunning = false;

  constructor(options: CoordinatorClientOptions) {
    this.#options = options;
  }

  start(): void {
    this.#isRunning = true;
    this.#scheduleReport(0);
  }

  stop(): void {
    if (!this.#isRunning) return;
    this.#isRunning = false;
    clearTimeout(this.#reportTimer);
    this.#reportAt = Number.POSITIVE_INFINITY;
    this.#withdrawReport(this.#coordinator);
    this.#coordinator = undefined;
  }

  /** Coordinators that have not failed to reply recently; all of them if none is left. */
  candidates(): InstanceId[] {
    const { coordinators, clock } = this.#options;
    const now = clock.monotonicNow();
    const all = coordinators();
    const trusted = all.filter((coordinator) =>
      (this.#states.get(coordinator)?.suspectedUntil ?? 0) <= now
    );
    return trusted.length > 0 ? trusted : [...all];
  }

  /** Whether a coordinator was reached since the given time that does not decide for others yet. */
  isUndecidedSince(time: number): boolean {
    return this.#lastUndecidedAt >= time;
  }

  /** Coordinators that can reach the store, as far as is known. */
  storeRelays(): InstanceId[] {
    return this.candidates().filter((coordinator) =>
      !this.#states.get(coordinator)?.isStoreFailing
    );
  }

  /**
   * Asks coordinators in turn until one replies; undefined if none does. `build` receives the
   * number of the question, which counts as settled once this call has returned; a call that may be
   * slow has none. `accept` also receives how many coordinators were asked before without a reply.
   */
  async ask<Request, Reply, Result>(
    message: PeerMessage<Request, Reply>,
    build: (question: number) => Request,
    accept: (reply: Reply, silentCoordinators: number) => Result,
    {
      deadlineMilliseconds,
      maximumAsked = maximumAskedCoordinators,
      mayBeSlow = false,
      isAllowed = () => true,
    }: AskOptions,
  ): Promise<Result | undefined> {
    // Only questions that may be granted a slot are numbered: a call on a job, which may wait long,
    // would keep the slots of later questions counted twice.
    const question = mayBeSlow ? unnumberedQuestion : ++this.#lastQuestion;
    if (!mayBeSlow) this.#openQuestions.add(question);
    try {
      const asked = this.candidates().filter(isAllowed).slice(0, maximumAsked);
      for (const [silentCoordinators, coordinator] of asked.entries()) {
        const reply = await this.#request(
          coordinator,
          message,
          build(question),
          { deadlineMilliseconds, mayBeSlow },
        );
        if (reply !== undefined) return accept(reply, silentCoordinators);
      }
      return undefined;
    } finally {
      this.#openQuestions.delete(question);
    }
  }

  /** Sends a message to the preferred coordinator, which may be lost. */
  tell<Request>(message: PeerMessage<Request, null>, body: Request): void {
    const [coordinator] = this.candidates();
    if (coordinator === undefined) return;
    this.#options.network.send(coordinator, message, body);
  }

  /** Called when the loads of this instance have changed. */
  handleLoadChange(): void {
    if (this.#isRunning) this.#scheduleReport(loadReportDelayMilliseconds);
  }

  async #request<Request, Reply>(
    coordinator: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
    { deadlineMilliseconds, mayBeSlow = false }: AskOptions,
  ): Promise<Reply | undefined> {
    const { network, clock, logger } = this.#options;
    try {
      return await network.request(coordinator, message, body, {
        deadlineMilliseconds,
      });
    } catch (error) {
      if (error instanceof PeerUnavailableError && !mayBeSlow) {
        this.#stateOf(coordinator).suspectedUntil = clock.monotonicNow() +
          suspicionMilliseconds;
      }
      if (error instanceof PeerHandlerError && error.code === undecidedCode) {
        this.#lastUndecidedAt = clock.monotonicNow();
      }
      logger.warn("a coordinator did not answer", {
        coordinator,
        message: message.type,
        reason: String(error),
      });
      return undefined;
    }
  }

  #scheduleReport(milliseconds: number): void {
    const at = this.#options.clock.monotonicNow() + milliseconds;
    if (at >= this.#reportAt) return;
    clearTimeout(this.#reportTimer);
    this.#reportAt = at;
    this.#reportTimer = setTimeout(() => this.#report(), milliseconds);
  }

  #report(): void {
    if (!this.#isRunning) return;
    this.#reportAt = Number.POSITIVE_INFINITY;
    const state = this.#options.state();
    this.#scheduleReport(
      state.isStoreFailing
        ? failingReportIntervalMilliseconds
        : idleReportIntervalMilliseconds,
    );
    const [coordinator] = this.candidates();
    if (coordinator === undefined) return;
    if (this.#coordinator !== coordinator) {
      this.#withdrawReport(this.#coordinator);
      this.#coordinator = coordinator;
    }
    const report = withoutEmptyLists({
      ...state,
      settledQuestion: this.#settledQuestion(),
      knownStatementChanges: this.#stateOf(coordinator).statementChanges,
    }, optionalDependentReportLists);
    void this.#request(
      coordinator,
      dependentReportMessage,
      report,
      { deadlineMilliseconds: reportTimeoutMilliseconds },
    ).then((reply) => {
      if (reply === undefined) {
        return this.#scheduleReport(reportRetryMilliseconds);
      }
      const known = this.#stateOf(coordinator);
      known.isStoreFailing = reply.isStoreFailing;
      known.statementChanges = reply.statementChanges;
      this.#options.onStatements(reply, coordinator);
    });
  }

  /** Tells a former coordinator that it counts nothing for this instance any longer. */
  #withdrawReport(coordinator: InstanceId | undefined): void {
    if (coordinator === undefined) return;
    this.#options.network.send(coordinator, dependentReportMessage, {
      settledQuestion: this.#settledQuestion(),
      loads: [],
      failures: [],
      begun: noBegunAnswers,
      serverLimits: [],
      leavingServers: [],
      coldServers: [],
      speeds: [],
      knownStatementChanges: noStatementChanges,
      unsent: [],
      configurationPosition: Number.MAX_SAFE_INTEGER as Offset,
      serversPosition: Number.MAX_SAFE_INTEGER as Offset,
      isStoreFailing: false,
    });
  }

  #settledQuestion(): number {
    return this.#openQuestions.size === 0
      ? this.#lastQuestion
      : Math.min(...this.#openQuestions) - 1;
  }

  #stateOf(coordinator: InstanceId): CoordinatorState {
    let state = this.#states.get(coordinator);
    if (!state) {
      state = {
        suspectedUntil: 0,
        isStoreFailing: false,
        statementChanges: noStatementChanges,
      };
      this.#states.set(coordinator, state);
    }
    return state;
  }
}

const unnumberedQuestion = 0;
const noStatementChanges = -1;
