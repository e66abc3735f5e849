/** HTTP/1.1 towards endpoints and the platform, and a plain server of it. */
export { type HttpCall, HttpClient, splitAddress } from "./HttpClient";
export { createJson, type JsonAnswer, type JsonServerOptions, readBody, startJsonServer } from "./JsonServer";
