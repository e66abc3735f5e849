/** Helper processes of benches: `passThrough PORT TARGET…` or `engine PORT ID TOKEN_MS`. */
import { EngineStandin } from "../../standin/EngineStandin";
import { runPassThrough } from "./passThrough";

const [kind, port, ...rest] = process.argv.slice(2);
if (kind === "passThrough") runPassThrough(Number(port), rest);
else {
  // Order checks are off because the pass-through sends no valid epochs.
  const options = { id: rest[0]!, port: Number(port), tokenMs: Number(rest[1]), checksOrders: false };
  await EngineStandin.start(options);
}
