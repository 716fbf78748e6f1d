/** Timers that tests can replace, so that code that waits runs under virtual time. */

export interface Timers {
  /** Calls the action after the delay; the returned function cancels it. */
  after(milliseconds: number, action: () => void): () => void;
  /** Calls the action at the end of the current turn of the event loop. */
  defer(action: () => void): void;
}

export const systemTimers: Timers = {
  after: (milliseconds, action) => {
    const timer = setTimeout(action, milliseconds);
    return () => clearTimeout(timer);
  },
  defer: (action) => {
    setImmediate(action);
  },
};

/** Resolves after the given time. */
export function delay(timers: Timers, milliseconds: number): Promise<void> {
  return new Promise((resolve) => timers.after(milliseconds, resolve));
}
