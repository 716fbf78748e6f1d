/**
 * Collects the cleanup functions of an object's resources and calls all of them when the object
 * is disposed of, in reverse order of their addition.
 */

export type DisposeFunction = () => void | Promise<void>;

export class DisposableStore implements AsyncDisposable {
  readonly #disposables: DisposeFunction[] = [];
  #isDisposed = false;

  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Adds a cleanup function; calls it immediately if the store is already disposed of. */
  add(dispose: DisposeFunction): void {
    if (this.#isDisposed) {
      void dispose();
      return;
    }
    this.#disposables.push(dispose);
  }

  /** Calls an action repeatedly until the store is disposed of. */
  addInterval(action: () => void, intervalMilliseconds: number): void {
    const timer = setInterval(action, intervalMilliseconds);
    this.add(() => clearInterval(timer));
  }

  /** Calls the cleanup functions one after another, waiting for each to settle. */
  async dispose(): Promise<void> {
    this.#isDisposed = true;
    for (
      let next = this.#disposables.pop();
      next;
      next = this.#disposables.pop()
    ) {
      await next();
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.dispose();
  }
}
