/** Promises for delays and timeouts. */

export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Resolves to the value of the promise, or to undefined if it takes longer than the timeout. */
export async function withTimeout<Value>(
  promise: Promise<Value>,
  milliseconds: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), milliseconds);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
