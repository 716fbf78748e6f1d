/** Types of the internal modules of undici that are imported directly. */

declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}

declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}

declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";
  export default buildConnector;
}
