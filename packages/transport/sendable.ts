/** Whether the client for HTTP can send a path or a header, which it writes byte for character. */

const unsendableInPath = /[^\u0021-\u00ff]/;
const unsendableInValue = /[^\t\u0020-\u007e\u0080-\u00ff]/;
const tokenPattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

export function isSendablePath(path: string): boolean {
  return path.startsWith("/") && !unsendableInPath.test(path);
}

export function isSendableHeader(name: string, value: string): boolean {
  return tokenPattern.test(name) && !unsendableInValue.test(value);
}
