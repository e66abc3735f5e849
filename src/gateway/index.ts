/** The entry that routes by declarations and passes requests through unchanged. */
export type * from "./Dialect";
export { type GatewayOptions, startGateway } from "./GatewayProcess";
export { dropHeaders } from "./headers";
