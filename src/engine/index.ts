/** The interface of model engines and its HTTP implementation. */
export type {
  CacheEvent,
  Engine,
  EngineLoad,
  EngineOrder,
  EngineState,
  Frame,
  Generation,
  SendOptions,
} from "./Engine";
export { FrameReader } from "./FrameReader";
export { HttpEngine, type HttpEngineOptions } from "./HttpEngine";
