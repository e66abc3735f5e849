/** What requests did to the endpoints that ran them, and which requests are kept away from endpoints. */
export { getRequestDigest, type RequestContent, type RequestDigest } from "./RequestDigest";
