/** The entry process. */
export { ANSWER_HEADER } from "./AnswerWriter";
export { ClusterView } from "./ClusterView";
export { type EntryProcessOptions, startEntryProcess } from "./EntryProcess";
export { AttemptHistory, classifyFailure, type Failure } from "./failures";
export { type Outcome, Refusal, type RefusalCode } from "./Refusal";
export { ReplicaRouter, type Route } from "./ReplicaRouter";
