/** Types of the internal modules of prom-client that are imported directly. */

declare module "prom-client/lib/counter.js" {
  import { Counter } from "prom-client";
  export default Counter;
}
declare module "prom-client/lib/gauge.js" {
  import { Gauge } from "prom-client";
  export default Gauge;
}
declare module "prom-client/lib/registry.js" {
  import { Registry } from "prom-client";
  export default Registry;
}
