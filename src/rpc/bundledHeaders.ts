/** What the bundle takes where code names the web platform's `Headers`. */
export { CallHeaders as Headers } from "./CallHeaders";
