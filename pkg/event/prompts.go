package event

import "github.com/rs/zerolog"

// Events about requests and parts of prompts that may crash targets. The field kind says which
// of them the field part names: a request by its digest, or a part of prompts.
var (
	PartSuspected        = register(790, "part_suspected", zerolog.WarnLevel, "A target crashed when it had just begun to answer a prompt with this part, or may have begun to run this request (kind=request); the field crashes counts the crashes since the part last survived, rounds those that followed one another.")
	PartCleared          = register(791, "part_cleared", zerolog.InfoLevel, "A run with a suspect part, or of a suspect request, began after the last crash and survived; it is no longer suspect.")
	PartTrial            = register(792, "part_trial", zerolog.InfoLevel, "A suspect request, or one with a suspect part, is sent as a trial; others with the part wait for its result.")
	PartRefused          = register(793, "part_refused", zerolog.WarnLevel, "A request was not sent, because it or a part of its prompt may crash targets; the fields crashes, rounds and last_crash_ms hold the evidence and its age. With sent=true, the request was at a target and had not begun; the attempt was ended.")
	PartAwaited          = register(798, "part_awaited", zerolog.InfoLevel, "A stream that goes on waits for the result of a trial of a suspect part, for a second at most.")
	PartTrialRefused     = register(797, "part_trial_refused", zerolog.InfoLevel, "The target of a trial has refused it, or answered nothing, so that it says nothing about the suspect. That counts as a round of crashes if the suspect has crashed several targets: the next trial is as late as after a crash, ten minutes or less.")
	StoredEvidenceRead   = register(795, "stored_evidence_read", zerolog.InfoLevel, "The key-value service has evidence, which was new to this node, about requests or parts of prompts that may crash targets.")
	EvidenceNotStored    = register(796, "evidence_not_stored", zerolog.WarnLevel, "Evidence about requests or parts of prompts that have crashed several targets could not be written to the key-value service. It is written again until it succeeds; a restart of all nodes before that loses it.")
	PartEvidenceReceived = register(794, "part_evidence_received", zerolog.InfoLevel, "Another node sent new evidence about requests or parts of prompts that may crash targets.")
)
