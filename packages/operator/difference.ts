/** Describes the differences between two versions of a section, one line per changed path. */

/** Fields that identify the items of a list, so that items are not matched by their index. */
const identifyingFields = ["id", "name"] as const;

/** A changed value; `before` or `after` is undefined if the value was added or removed. */
export interface Difference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Returns lines that begin with `+`, `-` or `~`; none if the values are equal. */
export function describeDifferences(
  before: unknown,
  after: unknown,
): string[] {
  return findDifferences(before, after).map((difference) => {
    const { path, before, after } = difference;
    if (before === undefined) return `+ ${path}: ${show(after)}`;
    if (after === undefined) return `- ${path}: ${show(before)}`;
    return `~ ${path}: ${show(before)} -> ${show(after)}`;
  });
}

export function findDifferences(
  before: unknown,
  after: unknown,
  path = "",
): Difference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  const left = fieldsOf(before);
  const right = fieldsOf(after);
  if (!left || !right) return [{ path, before, after }];
  const names = [...new Set([...left.keys(), ...right.keys()])];
  return names.flatMap((name) =>
    findDifferences(left.get(name), right.get(name), joinPath(path, name))
  );
}

/** Items without an identifying field are keyed by their JSON and listed under the list's path. */
function joinPath(path: string, name: string): string {
  if (path === "") return name;
  return /^["{[]/.test(name) ? path : `${path}.${name}`;
}

/** Returns the fields of an object, or the items of a list by their identifying field. */
function fieldsOf(value: unknown): Map<string, unknown> | undefined {
  if (value === null || typeof value !== "object") return undefined;
  if (!Array.isArray(value)) return new Map(Object.entries(value));
  const names = value.map((item) => {
    const identifyingField = identifyingFields.find((field) =>
      typeof item?.[field] === "string"
    );
    return identifyingField
      ? item[identifyingField] as string
      : JSON.stringify(item);
  });
  return new Map(value.map((item, index) => [names[index] ?? "", item]));
}

function show(value: unknown): string {
  return JSON.stringify(value);
}
