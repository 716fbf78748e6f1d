/** Command `teams create-key`: creates the key pair with which a team signs its publishes. */

import { writeFileSync } from "node:fs";
import { stringify } from "yaml";
import { z } from "zod";
import { createTeamKeyPair } from "../../control/signing.ts";
import { sectionNameSchema } from "../../control/document.ts";
import { defineCommand } from "../command.ts";

export const createTeamKeyCommand = defineCommand({
  usage: "teams create-key <name>",
  description:
    "Create a team's key file and print its line for the platform section",
  options: {
    out: {
      type: "string",
      requiresArg: true,
      description: "Key file to create; NAME.pem by default",
    },
  },
  flags: z.object({ name: sectionNameSchema, out: z.string().optional() }),
  run: (context, { name, out = `${name}.pem` }) => {
    const { publicKey, privateKeyPem } = createTeamKeyPair();
    // An existing key is never overwritten: it may be the only copy.
    writeFileSync(out, privateKeyPem, { mode: 0o600, flag: "wx" });
    const team = { name, publicKey, sections: [name] };
    context.print(`private key: ${out}`);
    context.print(
      stringify([team], { lineWidth: 0 }).trimEnd(),
    );
    return Promise.resolve(0);
  },
});
