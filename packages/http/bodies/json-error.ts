/**
 * Finds the position at which a text stops being valid JSON. The messages of V8's parser cannot be
 * used: they give a position for some errors only, and they quote the text, which may contain
 * content that must not be repeated.
 */

/** Characters below this code must be escaped in JSON strings. */
const firstPrintable = 0x20;
const whitespace = /[ \t\n\r]*/y;
const literal = /true|false|null/y;
const number = /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/y;
const escape = /\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})/y;

/** Zero-based position of the first error; the length of the text if it is valid or truncated. */
export function findJsonError(text: string): number {
  let position = 0;
  const skip = (pattern: RegExp): boolean => {
    pattern.lastIndex = position;
    const match = pattern.exec(text);
    if (!match) return false;
    position += match[0].length;
    return true;
  };
  const accept = (character: string): boolean => {
    if (text[position] !== character) return false;
    position += 1;
    return true;
  };
  const skipString = (): boolean => {
    if (!accept('"')) return false;
    while (position < text.length) {
      if (accept('"')) return true;
      const isPlain = text[position] !== "\\" &&
        text.charCodeAt(position) >= firstPrintable;
      if (isPlain) position += 1;
      else if (!skip(escape)) return false;
    }
    return false;
  };
  const skipKey = (): boolean => {
    skip(whitespace);
    if (!skipString()) return false;
    skip(whitespace);
    return accept(":");
  };

  // Closing characters of the open objects and arrays. A stack is used instead of recursion,
  // because callers control the nesting depth.
  const expectedClosers: string[] = [];
  for (;;) {
    skip(whitespace);
    if (accept("{")) {
      skip(whitespace);
      if (!accept("}")) {
        if (!skipKey()) return position;
        expectedClosers.push("}");
        continue;
      }
    } else if (accept("[")) {
      skip(whitespace);
      if (!accept("]")) {
        expectedClosers.push("]");
        continue;
      }
    } else if (!(skipString() || skip(literal) || skip(number))) {
      return position;
    }
    for (;;) {
      skip(whitespace);
      const closer = expectedClosers.at(-1);
      if (closer === undefined) return position;
      if (accept(closer)) {
        expectedClosers.pop();
        continue;
      }
      if (!accept(",")) return position;
      if (closer === "}" && !skipKey()) return position;
      break;
    }
  }
}
