/** Starts the program. */
import { main } from "./cli/main";

void main(process.argv);
