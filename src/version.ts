/** Version of this build, read from package.json. */
import manifest from "../package.json";

export const VERSION: string = manifest.version;
