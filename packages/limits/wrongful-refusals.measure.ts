/** Measures wrongful refusals and messages per request for each pattern of compliant demand. */

import {
  compliantPatterns,
  runCompliantDemand,
} from "./testing/compliant-demand.ts";

for (const pattern of compliantPatterns) {
  for (const seed of [1, 2, 3]) {
    const { offered, refused, messages } = await runCompliantDemand(
      pattern,
      seed,
    );
    console.log(
      `${pattern.name}, seed ${seed}: ${refused} of ${offered} refused, ` +
        `${(messages / offered).toFixed(1)} messages a request`,
    );
  }
}
