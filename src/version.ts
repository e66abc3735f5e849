/** The version of this build. */
import manifest from "../package.json";

/** Version as in the package's manifest. */
export const VERSION: string = manifest.version;
