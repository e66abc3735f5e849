/** Replaces the web platform's `Headers` in the bundle. */
export { CallHeaders as Headers } from "./CallHeaders";
