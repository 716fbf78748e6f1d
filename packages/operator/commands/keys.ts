/** Commands `keys create` and `keys withdraw`: edit the keys of callers in a document file. */

import { randomBytes } from "node:crypto";
import { stringify } from "yaml";
import { z } from "zod";
import { RosemaryrudderError } from "../../common/errors.ts";
import { sha256Hex } from "../../common/hashing.ts";
import type { SectionName } from "../../common/ids.ts";
import { defineCommand } from "../command.ts";
import { keyBytes } from "../constants.ts";
import { DocumentFile } from "../document-file.ts";

const idOption = {
  type: "string",
  demandOption: true,
  requiresArg: true,
  description: "Id of the key",
} as const;

export const createKeyCommand = defineCommand({
  usage: "keys create <workspace>",
  description:
    "Create a key and print it once, with the line that holds its hash",
  options: {
    id: idOption,
    write: {
      type: "string",
      requiresArg: true,
      description: "Document file to which the hash is added",
    },
  },
  flags: z.object({
    workspace: z.string(),
    id: z.string(),
    write: z.string().optional(),
  }),
  run: (context, { workspace, id, write }) => {
    const key = `rr-${randomBytes(keyBytes).toString("base64url")}`;
    const entry = { id, sha256: sha256Hex(key) };
    if (write !== undefined) {
      const document = DocumentFile.read(write);
      const { path, keys } = findWorkspace(
        document,
        workspace,
        context.section,
      );
      if (keys.some((existing) => existing.id === id)) {
        throw new RosemaryrudderError(
          "key_exists",
          `workspace '${workspace}' already has a key '${id}'`,
        );
      }
      document.addToList([...path, "keys"], entry);
    }
    context.print(`key: ${key}`);
    const line = stringify(entry, { collectionStyle: "flow", lineWidth: 0 });
    context.print(`- ${line.trim()}`);
    return Promise.resolve(0);
  },
});

export const withdrawKeyCommand = defineCommand({
  usage: "keys withdraw <workspace>",
  description: "Remove a key from a document file; publish the file afterwards",
  options: {
    id: idOption,
    write: {
      type: "string",
      demandOption: true,
      requiresArg: true,
      description: "Document file from which the hash is removed",
    },
  },
  flags: z.object({ workspace: z.string(), id: z.string(), write: z.string() }),
  run: (context, { workspace, id, write }) => {
    const document = DocumentFile.read(write);
    const { path, keys } = findWorkspace(document, workspace, context.section);
    const index = keys.findIndex((key) => key.id === id);
    if (index < 0) {
      throw new RosemaryrudderError(
        "no_such_key",
        `workspace '${workspace}' has no key '${id}' in ${write}`,
      );
    }
    document.remove([...path, "keys", index]);
    context.print(
      `removed; the key works until ${write} is published and in force`,
    );
    return Promise.resolve(0);
  },
});

const workspacesSchema = z.array(z.looseObject({
  id: z.string(),
  keys: z.array(z.looseObject({ id: z.string() })).default([]),
}));

/** Returns the path of a workspace in the file, and its keys. */
function findWorkspace(
  document: DocumentFile,
  workspace: string,
  section: SectionName | undefined,
) {
  for (const { name } of document.selectSections(section)) {
    const { data = [] } = workspacesSchema.safeParse(
      document.sectionFields(name)["workspaces"] ?? [],
    );
    const index = data.findIndex(({ id }) => id === workspace);
    if (index < 0) continue;
    const path = ["sections", name, "workspaces", index];
    return { path, keys: data[index]?.keys ?? [] };
  }
  throw new RosemaryrudderError(
    "no_such_workspace",
    `${document.path} has no workspace '${workspace}'`,
  );
}
