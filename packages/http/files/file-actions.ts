/** Endpoints that upload files, describe them and return their content. */

import { brandAs, type FileId } from "../../common/ids.ts";
import type { CallerAction } from "../server/caller-action.ts";
import { sendJson, sendStream } from "../server/send-response.ts";
import { toFileObject, unknownFile } from "./file-object.ts";
import { FileUpload } from "./file-upload.ts";

export const createFileAction: CallerAction = {
  name: "create_file",
  method: "POST",
  path: "/v1/files",
  takesRateToken: "first",
  async handle({ request, response, admission, services, signal }) {
    const upload = new FileUpload({
      request,
      limit: services.limits.fileBytes,
      checkKey: admission.checkKey,
    });
    const { filename, content } = await upload.start();
    admission.check();
    try {
      const file = await services.batch.createFile({
        workspace: admission.workspace,
        filename,
        content,
        signal,
      });
      sendJson(response, 200, toFileObject(file));
    } catch (error) {
      // The upload's own error takes precedence, because the service may have wrapped it.
      throw upload.error ?? error;
    }
  },
};

export const getFileAction: CallerAction = {
  name: "get_file",
  method: "GET",
  path: "/v1/files/:id",
  takesRateToken: "never",
  async handle({ response, parameters, admission, services }) {
    const file = await services.batch.getFile(
      admission.workspace,
      brandAs<FileId>(parameters["id"] ?? ""),
    );
    if (!file) throw unknownFile();
    sendJson(response, 200, toFileObject(file));
  },
};

export const getFileContentAction: CallerAction = {
  name: "get_file_content",
  method: "GET",
  path: "/v1/files/:id/content",
  takesRateToken: "never",
  async handle(context) {
    const { parameters, admission, services } = context;
    const content = await services.batch.readFile(
      admission.workspace,
      brandAs<FileId>(parameters["id"] ?? ""),
    );
    await sendStream(context, content, {
      status: 200,
      headers: { "content-type": "application/jsonl" },
    });
  },
};
