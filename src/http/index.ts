/** HTTP/1.1 towards endpoints and the platform. */
export { type HttpCall, HttpClient, splitAddress } from "./HttpClient";
