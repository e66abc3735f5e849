/** Entry point of the command line. */
import { main } from "./cli/main";

void main(process.argv);
