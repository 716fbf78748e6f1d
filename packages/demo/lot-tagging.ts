/** Generates lot-tagging items in the API's batch format, reproducibly from a seed. */

import { SeededRandom } from "../common/random.ts";

export interface BatchItem {
  readonly custom_id: string;
  readonly method: "POST";
  readonly url: string;
  readonly body: {
    readonly model: string;
    readonly messages: readonly { role: string; content: string }[];
    readonly max_tokens: number;
  };
}

export interface LotTaggingOptions {
  count?: number;
  seed?: number;
  model?: string;
  /** Number of items that the engine stand-in always refuses, spread evenly over the file. */
  impossibleItems?: number;
}

export const lotTaggingFile = "lot-tagging.jsonl";

/** The engine stand-in refuses requests that contain this text. */
const impossibleText = "IMPOSSIBLE";

const sortingRules = [
  "You tag lots of hulled walnuts for the association's scale house.",
  "Answer with the nut class and one short reason.",
  "Class A: at least 85 percent light or extra light halves, moisture up to 8 percent.",
  "Class B: at least 70 percent sound kernels, light or light amber, moisture up to 9 percent.",
  "Class C: sound kernels of any colour, moisture up to 10 percent.",
  "Class D: anything else. Lots above 12 percent moisture go back to the drying yard.",
  "Stained hulls lower the class by one. Insect damage above 2 percent means class D.",
].join(" ");

const barangays = [
  "Ambuklao",
  "Bokod",
  "Daclan",
  "Kabayan",
  "Karao",
  "Loo",
  "Natubleng",
  "Sagubo",
  "Tublay",
  "Wangal",
];
const varieties = ["Chandler", "Franquette", "Hartley", "Lara", "Serr"];
const colours = ["extra light", "light", "light amber", "amber", "dark"];
const remarks = [
  "hull stains on a few nuts",
  "rained on during transport, turned twice",
  "second pass through the huller",
  "bags relabelled at the scale",
  "dried on the upper racks",
  "mixed with last week's remainder",
  "none",
];

export function createLotTaggingItems(
  {
    count = 1_000,
    seed = 20_261_204,
    model = "walnut-7b",
    impossibleItems = 5,
  }: LotTaggingOptions = {},
): BatchItem[] {
  const random = new SeededRandom(seed);
  const step = count / Math.max(1, impossibleItems);
  const impossible = new Set(
    Array.from(
      { length: impossibleItems },
      (_, index) => Math.floor((index + 0.5) * step),
    ),
  );
  return Array.from({ length: count }, (_, index): BatchItem => {
    const lot = describeLot(random, index, impossible.has(index));
    return {
      custom_id: `lot-${String(index + 1).padStart(5, "0")}`,
      method: "POST",
      url: "/v1/chat/completions",
      body: {
        model,
        messages: [
          { role: "system", content: sortingRules },
          { role: "user", content: lot },
        ],
        max_tokens: 24,
      },
    };
  });
}

function describeLot(
  random: SeededRandom,
  index: number,
  isImpossible: boolean,
): string {
  const numberBetween = (from: number, to: number) =>
    (from + random.next() * (to - from)).toFixed(1);
  const moisture = isImpossible
    ? `${impossibleText} reading, sensor fault`
    : `${numberBetween(6, 14)} percent`;
  return [
    `Lot ${2_600 + index} from ${random.pick(barangays)}`,
    `member ${1_000 + random.integerBelow(900)}`,
    `variety ${random.pick(varieties)}`,
    `net weight ${numberBetween(35, 900)} kg in ${
      1 + random.integerBelow(18)
    } bags`,
    `moisture ${moisture}`,
    `halves ${numberBetween(40, 95)} percent`,
    `colour ${random.pick(colours)}`,
    `insect damage ${numberBetween(0, 3)} percent`,
    `remarks: ${random.pick(remarks)}`,
  ].join("; ");
}

export function toJsonLines(items: readonly BatchItem[]): string {
  return items.map((item) => JSON.stringify(item) + "\n").join("");
}
