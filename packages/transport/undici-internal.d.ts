declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}
