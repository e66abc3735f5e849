/** HTTP servers whose clients may send anything: what is read, held and kept open is bounded. */
export { BodyBlocks } from "./BodyBlocks";
export { type BodyFailure, BodyReader, type BodyReading, getDeclaredBytes } from "./BodyReader";
export { type BodyOwner, BodyReservation, type BodyRoom } from "./BodyReservation";
export { bufferCollection } from "./bufferCollection";
export { createHttpServer, type HttpServerOptions } from "./createHttpServer";
export { dropBody } from "./dropBody";
export { getCallerLimit } from "./getCallerLimit";
export { MemoryBudget, type MemoryBudgetOptions } from "./MemoryBudget";
export { RequestBody } from "./RequestBody";
