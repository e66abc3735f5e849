/** Helper processes of benches: `passThrough PORT TARGET…`, `engine PORT ID TOKEN_MS`. */
import { EngineStandin } from "../../standin/EngineStandin";
import { runPassThrough } from "./passThrough";

const [kind, port, ...rest] = process.argv.slice(2);
if (kind === "passThrough") runPassThrough(Number(port), rest);
else {
  // Unchecked, so that the bare pass-through need not know epochs.
  const options = { id: rest[0]!, port: Number(port), tokenMs: Number(rest[1]), checksOrders: false };
  await EngineStandin.start(options);
}
