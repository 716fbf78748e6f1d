/**
 * Decides when this instance takes and gives up the role of a coordinator. The choice follows the
 * member list; a pause keeps the many changes at the start of a fleet from handing the role on
 * from one instance to the next.
 */

import {
  roleSettleMaximumMilliseconds,
  roleSettleMilliseconds,
} from "./constants.ts";

export interface CoordinationRoleOptions {
  /** Whether the member list chooses this instance. */
  readonly isChosen: () => boolean;
  /** `isFirstDecision`: the instance takes the role at its start. */
  readonly onChange: (
    isCoordinator: boolean,
    change: { readonly isFirstDecision: boolean },
  ) => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export class CoordinationRole {
  readonly #options: CoordinationRoleOptions;
  #isCoordinator = false;
  #isStopped = false;
  #isDecided = false;
  /** When the choice last began to differ from the role. */
  #differsSince: number | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CoordinationRoleOptions) {
    this.#options = options;
  }

  get isCoordinator(): boolean {
    return this.#isCoordinator;
  }

  /** True once this instance knows its role after its start. */
  get isDecided(): boolean {
    return this.#isDecided;
  }

  /**
   * Called when the member list has changed. `isSettled`: the list comes from a fleet that has been
   * running and already includes this instance, so that nothing is to be waited for.
   */
  handleChange({ isSettled }: { isSettled: boolean }): void {
    clearTimeout(this.#timer);
    if (this.#isStopped) return;
    if (isSettled) return this.#follow();
    const isUnchanged = this.#options.isChosen() === this.#isCoordinator;
    if (isUnchanged && this.#isDecided) {
      this.#differsSince = undefined;
      return;
    }
    const now = this.#options.now();
    this.#differsSince ??= now;
    const latest = this.#differsSince + roleSettleMaximumMilliseconds;
    this.#timer = setTimeout(
      () => this.#follow(),
      Math.max(0, Math.min(roleSettleMilliseconds, latest - now)),
    );
  }

  /** Keeps the role as it is from now on. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #follow(): void {
    const isChosen = this.#options.isChosen();
    this.#differsSince = undefined;
    const isFirstDecision = !this.#isDecided;
    this.#isDecided = true;
    if (isChosen === this.#isCoordinator) return;
    this.#isCoordinator = isChosen;
    this.#options.onChange(isChosen, { isFirstDecision });
  }
}
