// Package operator implements the logic of rosemaryhatchctl. It writes new versions of the two tables
// (section 4.3 of the design page describes how versions are identified), lists the history of versions, and
// reads the status of the nodes.
//
// Decisions are made by Machine values, which turn events into effects and do no I/O. Runner runs one
// machine at a time, performs its effects and passes the results back to it as events.
//
// # Exit codes
//
//	0  the command did what was asked
//	1  the command failed and changed nothing
//	2  wrong usage or invalid tables
//	3  conflict: another version came first and nothing was changed
//	4  unknown outcome: the new version may or may not be in the store
//	5  timeout: the version is not active on all live members
package operator

// ExitCodeHelp describes the exit codes in the help of rosemaryhatchctl.
const ExitCodeHelp = `Exit codes: 0 done; 1 failed, nothing changed; 2 wrong usage or invalid tables; ` +
	`3 conflict, another version came first, nothing changed; 4 unknown outcome, the new version may or may ` +
	`not be in the store; 5 timeout, the version is not active on all live members.`
