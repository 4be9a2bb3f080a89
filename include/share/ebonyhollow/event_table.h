/* The event table. Numbers are fixed: a new event gets an unused number of its
 * block, and the number of a removed event is not reused.
 *
 * Blocks: 100 daemon, 200 requests, 300 ledger, 400 backend servers,
 * 500 peers, 600 configuration, 700 platform, 800 administration. */
#ifndef EBONYHOLLOW_EVENT_TABLE_H
#define EBONYHOLLOW_EVENT_TABLE_H

#define EB_EVENT_TABLE(X)                                                     \
    X(DAEMON_STARTED, 100, "daemon-started", EB_LEVEL_NOTICE,                 \
      "The daemon is listening. Readiness follows once a configuration "      \
      "is in force.",                                                         \
      "instance,incarnation,failure_domain",                                  \
      "None. Without a later configuration-applied, look at the platform "    \
      "and the peers.")                                                       \
    X(DAEMON_STOPPED, 101, "daemon-stopped", EB_LEVEL_NOTICE,                 \
      "The daemon stopped. The exit status is 0 when cut_requests is 0.",     \
      "instance,cut_requests",                                                \
      "If cut_requests is not 0, a second signal or drain_limit_ms ended "    \
      "requests early; raise the limit above the longest deadline.")          \
    X(DRAIN_STARTED, 102, "drain-started", EB_LEVEL_NOTICE,                   \
      "The balancer delay is over: the daemon takes no new requests and "     \
      "finishes live_requests.",                                              \
      "instance,live_requests", "None.")                                      \
    X(EVENTS_SUPPRESSED, 103, "events-suppressed", EB_LEVEL_WARNING,          \
      "An event occurred more often than the log's limit of 200 lines a "     \
      "second; count is the number of lines that were not written.",          \
      "suppressed_event,count",                                               \
      "Look the event up here and at ebonyhollow_events_suppressed_total.")   \
    X(RELOAD_REQUESTED, 104, "reload-requested", EB_LEVEL_NOTICE,             \
      "SIGHUP was received. The settings file is read again.", "instance",    \
      "None. settings-reloaded or settings-refused follows.")                 \
    X(SETTINGS_RELOADED, 105, "settings-reloaded", EB_LEVEL_NOTICE,           \
      "The settings file was read again. applied names the settings that "    \
      "changed and are in force, restart those that changed and are not.",    \
      "applied,restart", "Restart the daemon if restart names any setting.")  \
    X(SETTINGS_REFUSED, 106, "settings-refused", EB_LEVEL_ERROR,              \
      "The settings file that was read again is invalid. The daemon keeps "   \
      "all settings that it runs with.",                                      \
      "cause", "Correct the file; the daemon would not start with it.")       \
    X(REQUEST_FINISHED, 200, "request-finished", EB_LEVEL_INFO,               \
      "A request was answered, or its caller disconnected. generation is "    \
      "that of the configuration it was handled under, sent the number of "   \
      "calls that may have run.",                                             \
      "request_id,customer,pipeline,outcome,reason,generation,sent,total_us", \
      "None. The trace is in 'ebonyhollow requests --id ID'.")                \
    X(ECHO_MISMATCH, 201, "echo-mismatch", EB_LEVEL_ERROR,                    \
      "A backend server did not echo the request id, stage and attempt "      \
      "of the call; its answer was discarded and the connection closed.",     \
      "request_id,stage,attempt,backend_server",                              \
      "Remove the backend server from the configuration and inspect it: "     \
      "it may mix up answers.")                                               \
    X(ATTEMPT_FAILED, 202, "attempt-failed", EB_LEVEL_INFO,                   \
      "A call to a backend server failed.",                                   \
      "request_id,customer,pipeline,stage,attempt,backend_server,cause",      \
      "None, unless one backend server or one cause dominates; then "         \
      "inspect that server.")                                                 \
    X(LATE_ANSWER_DROPPED, 203, "late-answer-dropped", EB_LEVEL_DEBUG,        \
      "An answer for an attempt that is no longer current was dropped.",      \
      "attempt_id", "None.")                                                  \
    X(OUTCOME_UNKNOWN, 204, "outcome-unknown", EB_LEVEL_WARNING,              \
      "A non-idempotent call was sent and its result is not known; it "       \
      "may have run.",                                                        \
      "request_id,customer,pipeline,backend_server",                          \
      "Compare with the service's own record for the key; see "               \
      "docs/OPERATIONS.md, outcomes unknown.")                                \
    X(REQUEST_MALFORMED, 205, "request-malformed", EB_LEVEL_WARNING,          \
      "A request to be forwarded was answered 400 or 431 and not passed "     \
      "on; cause says what is wrong with it.",                                \
      "cause", "Tell the caller what is wrong with its client's requests.")   \
    X(CONNECTION_REFUSED, 206, "connection-refused", EB_LEVEL_WARNING,        \
      "A new connection of a caller was closed at once, since "               \
      "max_connections are open already.",                                    \
      "max_connections",                                                      \
      "Add instances, or raise max_connections in the settings.")             \
    X(PREPARATION_RETRIED, 207, "preparation-retried", EB_LEVEL_INFO,         \
      "The server that work items of a stage were sent to did not complete "  \
      "them; they are sent again.",                                           \
      "backend_server,service,pieces,cause",                                  \
      "None, unless one server or one cause dominates.")                      \
    X(PREPARATION_ENDED, 208, "preparation-ended", EB_LEVEL_INFO,             \
      "The work items of one stage of a request have ended, wait_us after "   \
      "the batcher of this daemon received them.",                            \
      "request_id,service,stage,pieces,status,wait_us", "None.")              \
    X(STAGE_SHORTAGE, 230, "stage-shortage", EB_LEVEL_INFO,                   \
      "The servers of a stage can't do all items that wait at this home in "  \
      "time; once a second. busy, blocked and without_memory count servers, " \
      "items_per_s and done_per_s are what they should do and have done; "    \
      "mean_bytes is the mean size of the results of items that wait.",       \
      "service,items,by_priority,late_items,busy,blocked,without_memory,"     \
      "held_bytes,foreign_bytes,mean_bytes,items_per_s,done_per_s",           \
      "Add servers, or memory for results when most are without_memory.")     \
    X(MESSAGE_UNSENT, 231, "message-unsent", EB_LEVEL_ERROR,                  \
      "A message to another daemon can't be encoded and was not sent; work "  \
      "that it carries is done here or fails at once.",                       \
      "peer,kind",                                                            \
      "Report it; a name in the message is probably longer than 127 bytes.")  \
    X(CAPACITY_CHANGED, 232, "capacity-changed", EB_LEVEL_NOTICE,             \
      "The event loop of this daemon stays late by delay_us (state full) or " \
      "was in time for hold_us (calm): it names capacity to its peers, by "   \
      "which homes of work items are chosen.",                                \
      "state,capacity,delay_us,hold_us",                                      \
      "None, unless it is frequent: give the instance more processor time.")  \
    X(ATTEMPT_STARTED, 209, "attempt-started", EB_LEVEL_INFO,                 \
      "A forwarded request is sent to a backend server. in_flight is the "    \
      "number of this daemon's calls there, left_us the time until its "      \
      "deadline; affine tells whether the server is the one that probably "   \
      "caches its prompt's prefix.",                                          \
      "request_id,customer,pipeline,attempt,backend_server,in_flight,"        \
      "affine,left_us",                                                       \
      "None.")                                                                \
    X(PREPARATION_PLACED, 210, "preparation-placed", EB_LEVEL_INFO,           \
      "The work items of one stage of a request are handed to the home "      \
      "daemon, which gathers them into batches; they should be done in "      \
      "due_in_us.",                                                           \
      "request_id,service,stage,pieces,home,due_in_us", "None.")              \
    X(CALL_UNANSWERED, 211, "call-unanswered", EB_LEVEL_INFO,                 \
      "The connection of a forwarded call broke before its answer began, as " \
      "when the request crashes its backend server. parts are the prompt's "  \
      "parts that other requests may share, each as its id and its "          \
      "fingerprint.",                                                         \
      "request_id,attempt,backend_server,parts",                              \
      "None, unless one part dominates: see docs/OPERATIONS.md, poison "      \
      "request.")                                                             \
    X(CLIENTS_ENDED, 220, "clients-ended", EB_LEVEL_WARNING,                  \
      "Clients were refused, or their connections ended, to protect this "    \
      "daemon; at most one line a second for each reason. client_bytes is "   \
      "what it holds for all clients.",                                       \
      "reason,count,client_bytes",                                            \
      "See docs/OPERATIONS.md, clients that misbehave.")                      \
    X(LIMIT_CAPPED, 221, "limit-capped", EB_LEVEL_WARNING,                    \
      "A limit is above what the memory of this daemon or its descriptors "   \
      "(max_connections) allow; the lower one is in force.",                  \
      "limit,wanted,in_force",                                                \
      "Lower the limit, or give the daemon more memory or descriptors.")      \
    X(CLAIM_SETTLED, 300, "claim-settled", EB_LEVEL_NOTICE,                   \
      "The result of a claim write was uncertain and has been resolved by "   \
      "reading the store; result is owned, written or changed.",              \
      "customer,key_digest,result",                                           \
      "None for owned and written. For changed, find out who changed the "    \
      "claim object.")                                                        \
    X(LEDGER_QUEUE_FULL, 301, "ledger-queue-full", EB_LEVEL_ERROR,            \
      "1,024 outcomes are waiting for the store and this one was dropped; "   \
      "later repeats of its key are answered unknown.",                       \
      "customer,key_digest",                                                  \
      "Restore the platform's store, then compare the customer's keys "       \
      "with the service's record.")                                           \
    X(HOLD_EXPIRED, 302, "hold-expired", EB_LEVEL_WARNING,                    \
      "A claim's hold time expired before the call was sent, so it is not "   \
      "sent any more. overdue_us is the time since the hold expired.",        \
      "request_id,customer,overdue_us",                                       \
      "Check the instance for pauses or a starved processor, and the "        \
      "pool of the call for queueing.")                                       \
    X(KEY_REUSED, 303, "key-reused", EB_LEVEL_WARNING,                        \
      "An idempotency key was sent again with another body or pipeline; "     \
      "the request was refused with status 422.",                             \
      "request_id,customer",                                                  \
      "Tell the customer: its client has to choose a new key for a new "      \
      "request.")                                                             \
    X(SERVER_LISTED, 420, "backend-server-listed", EB_LEVEL_NOTICE,           \
      "The platform's store says that a backend server is ready, leaving or " \
      "gone; lapsed means that its entry disappeared during an outage of "    \
      "the store and that the server stays in use for two seconds, doubted "  \
      "that the store returned from an older copy in which a server is "      \
      "ready "                                                                \
      "that was leaving or gone, which is not used for now.",                 \
      "backend_server,service,state", "None.")                                \
    X(SERVER_STARTED, 435, "backend-server-started", EB_LEVEL_NOTICE,         \
      "A backend server has started anew under its id. What was known of "    \
      "its "                                                                  \
      "earlier start no longer holds.",                                       \
      "backend_server,incarnation",                                           \
      "None, unless it is frequent: find out why the server ends.")           \
    X(SERVER_COLD, 436, "backend-server-cold", EB_LEVEL_NOTICE,               \
      "A backend server is cold, or may be, and its calls are bounded for "   \
      "left_us. share_milli is the part of this daemon in thousandths of a "  \
      "call a second, 0 if other daemons use the server.",                    \
      "backend_server,left_us,share_milli", "None.")                          \
    X(SERVER_WARM, 437, "backend-server-warm", EB_LEVEL_NOTICE,               \
      "A backend server is no longer cold, by its own entry.",                \
      "backend_server,left_us,share_milli", "None.")                          \
    X(PACE_BEGUN, 438, "backend-server-pace-begun", EB_LEVEL_INFO,            \
      "A backend server has started or recovered and gets few calls at "      \
      "first; cause is started, cold, readmitted or evacuation.",             \
      "backend_server,cause", "None.")                                        \
    X(PACE_ENDED, 439, "backend-server-pace-ended", EB_LEVEL_INFO,            \
      "A backend server gets its full load again: when it answers like "      \
      "the others (answers), when it was not found slow for a while "         \
      "(quiet), or after the longest time (time).",                           \
      "backend_server,cause,after_us",                                        \
      "If cause is often time, compare the server's latency with the "        \
      "others.")                                                              \
    X(SERVER_EJECTED, 400, "backend-server-ejected", EB_LEVEL_WARNING,        \
      "This daemon sends a backend server no calls until until_us on its "    \
      "monotonic clock; cause is latency, failures or the result of the "     \
      "last call.",                                                           \
      "backend_server,pool,cause,until_us",                                   \
      "Compare 'ebonyhollow servers' of several daemons. Ejected by all: "    \
      "inspect the server. By one: inspect the network path.")                \
    X(SERVER_RETURNED, 401, "backend-server-returned", EB_LEVEL_NOTICE,       \
      "A backend server receives calls again, few at first.",                 \
      "backend_server,pool", "None.")                                         \
    X(SERVER_LEAVING, 402, "backend-server-leaving", EB_LEVEL_NOTICE,         \
      "A backend server is leaving and receives no new calls.",               \
      "backend_server,source",                                                \
      "None. Once it is gone for good, remove it from the configuration.")    \
    X(SERVER_SILENT, 403, "backend-server-silent", EB_LEVEL_WARNING,          \
      "A call made no progress within its time-out; idle connections to "     \
      "the backend server were closed.",                                      \
      "backend_server,stage",                                                 \
      "If it is frequent for one server, check the server and the "           \
      "network path; if for all, check the time-outs of the stage.")          \
    X(SERVER_COST_CHANGED, 450, "backend-server-cost-changed", EB_LEVEL_INFO, \
      "The usual piece interval of a backend server, as this daemon "         \
      "measured it or was told, makes work there cost cost_permille of "      \
      "the pool's typical server; it gets calls accordingly. "                \
      "piece_interval_us is the time between two pieces of a stream.",        \
      "backend_server,pool,piece_interval_us,cost_permille",                  \
      "None, unless the server should be as fast as the others.")             \
    X(SERVER_CRASHED, 404, "backend-server-crashed", EB_LEVEL_ERROR,          \
      "Connections to a backend server broke while it had in_flight calls "   \
      "of this daemon; their requests are suspected.",                        \
      "backend_server,in_flight",                                             \
      "Check that the server has restarted, and look in 'ebonyhollow "        \
      "quarantine list' for the request that caused it.")                     \
    X(SERVER_LIMITED, 405, "backend-server-limited", EB_LEVEL_NOTICE,         \
      "A backend server named the requests that it takes each second from "   \
      "all daemons together. share_milli is the part of this daemon, 0 if "   \
      "others use the limit; source is answer or peer.",                      \
      "backend_server,requests_per_s_milli,share_milli,source",               \
      "Find out why the server is in need. If most servers of a service "     \
      "name limits, add servers.")                                            \
    X(SERVER_LIMIT_ENDED, 406, "backend-server-limit-ended", EB_LEVEL_NOTICE, \
      "A backend server answers without a limit again.",                      \
      "backend_server,requests_per_s_milli,share_milli,source", "None.")      \
    X(SERVER_PAUSED, 407, "backend-server-paused", EB_LEVEL_INFO,             \
      "A backend server rejected a call and asked this daemon for a pause.",  \
      "backend_server,pause_us",                                              \
      "None, unless it is frequent: the service needs more capacity.")        \
    X(RESULTS_NOT_RELEASED, 408, "results-not-released", EB_LEVEL_WARNING,    \
      "A server of a stage doesn't answer the calls that tell it to free "    \
      "results, or is slow with them: so many more are not told. They stay "  \
      "there until the server discards them itself.",                         \
      "backend_server,handles", "Check the server and its memory.")           \
    X(REQUEST_SUSPECTED, 410, "request-suspected", EB_LEVEL_WARNING,          \
      "A request was in flight on a backend server that crashed. crashes "    \
      "counts such servers.",                                                 \
      "fingerprint,crashes",                                                  \
      "None. It runs without other suspects until it succeeds, is "           \
      "quarantined or 60 s have passed.")                                     \
    X(REQUEST_QUARANTINED, 411, "request-quarantined", EB_LEVEL_ERROR,        \
      "A request was in flight on 3 servers that crashed and is refused by "  \
      "every daemon for 10 minutes.",                                         \
      "fingerprint,crashes,until_us",                                         \
      "Find the customer in request-finished events with reason "             \
      "quarantined and tell it; release with 'ebonyhollow quarantine "        \
      "release' once the engine is repaired.")                                \
    X(REQUEST_RELEASED, 412, "request-released", EB_LEVEL_NOTICE,             \
      "A fingerprint was released from quarantine; cause is expired, "        \
      "operator or peer.",                                                    \
      "fingerprint,cause", "None.")                                           \
    X(EVACUATION_STATE, 430, "evacuation-state", EB_LEVEL_NOTICE,             \
      "A failure domain changed from the state before to state: none, "       \
      "evacuating (nothing new is sent to its servers, calls of this daemon " \
      "run there), evacuated (none runs there any more) or returning (it is " \
      "in use again). era and revision are those of the order in the "        \
      "store, age_us is the time since this daemon learned of it.",           \
      "failure_domain,state,before,era,revision,age_us,calls",                \
      "None. See docs/OPERATIONS.md, emptying a failure domain.")             \
    X(PEER_ALIVE, 500, "peer-alive", EB_LEVEL_NOTICE,                         \
      "A daemon is known to be alive.", "peer,incarnation", "None.")          \
    X(PEER_SUSPECTED, 501, "peer-suspected", EB_LEVEL_WARNING,                \
      "A daemon missed its heartbeats or was reported by another daemon; "    \
      "without a sign of life it is declared dead.",                          \
      "peer,idle_us",                                                         \
      "None, unless it repeats for one instance: check it for pauses and "    \
      "its network path.")                                                    \
    X(PEER_DEAD, 502, "peer-dead", EB_LEVEL_WARNING,                          \
      "A daemon is declared dead. Requests with keys that it owned are "      \
      "answered unknown until it is back or the service knows the key.",      \
      "peer,incarnation",                                                     \
      "Check the instance and replace it. Many at once: see "                 \
      "docs/OPERATIONS.md, partition.")                                       \
    X(PEER_LEAVING, 503, "peer-leaving", EB_LEVEL_NOTICE,                     \
      "A daemon announced its shutdown, is listed as leaving, or has ended: " \
      "its address refuses connections.",                                     \
      "peer", "None, unless the daemon was not to end: check the instance.")  \
    X(PEER_LINK_UP, 504, "peer-link-up", EB_LEVEL_INFO,                       \
      "A link to a daemon is authenticated.", "peer,address", "None.")        \
    X(PEER_LINK_DOWN, 505, "peer-link-down", EB_LEVEL_INFO,                   \
      "A link to a daemon closed.", "peer,address,cause",                     \
      "None, unless the link to one peer or over one path flaps.")            \
    X(PEER_BAD_FRAME, 506, "peer-bad-frame", EB_LEVEL_ERROR,                  \
      "A frame was malformed or failed authentication; its link was "         \
      "closed.",                                                              \
      "address,cause",                                                        \
      "Check that both sides have the same peer_key and version. If the "     \
      "address is not a daemon's, someone else is connecting.")               \
    X(INCARNATION_RAISED, 507, "incarnation-raised", EB_LEVEL_WARNING,        \
      "Other daemons know an earlier process of this instance with a later "  \
      "start, so this one raised its incarnation above it.",                  \
      "incarnation",                                                          \
      "Check the clock of the instance, which was probably stepped back. If " \
      "it repeats, look for two processes with the same instance name.")      \
    X(CONFIGURATION_APPLIED, 600, "configuration-applied", EB_LEVEL_NOTICE,   \
      "A configuration generation is in force.", "generation,source",         \
      "None.")                                                                \
    X(CONFIGURATION_REJECTED, 601, "configuration-rejected", EB_LEVEL_ERROR,  \
      "A configuration is not valid here; the one in force stays.",           \
      "generation,error",                                                     \
      "Correct it with 'ebonyhollow config apply'. If only one daemon "       \
      "rejects it, compare the versions of the daemons.")                     \
    X(CONFIGURATION_STALE, 602, "configuration-stale", EB_LEVEL_INFO,         \
      "An older configuration generation was offered and ignored.",           \
      "generation,current",                                                   \
      "None. If it repeats, the platform's object or a daemon was "           \
      "reverted by hand.")                                                    \
    X(OBJECT_IGNORED, 710, "object-ignored", EB_LEVEL_WARNING,                \
      "An object of the platform's store could not be read and is not used; " \
      "if it is a configuration, the previous one stays in force.",           \
      "kind,name,cause", "Correct the object, or find out who wrote it.")     \
    X(CONFIGURATION_DEFECTS, 711, "configuration-defects", EB_LEVEL_WARNING,  \
      "Parts of a configuration that is in force can't be used here: "        \
      "requests of these routes are refused with 503, other entries are "     \
      "left out. The cause is that of the first of them.",                    \
      "generation,defects,cause",                                             \
      "Correct the parts with a new version. If only one daemon reports "     \
      "them, compare the versions of the daemons.")                           \
    X(PLATFORM_DOWN, 700, "platform-down", EB_LEVEL_WARNING,                  \
      "Two calls in a row to the platform's API failed.", "cause",            \
      "See docs/OPERATIONS.md, store outage.")                                \
    X(PLATFORM_UP, 701, "platform-up", EB_LEVEL_NOTICE,                       \
      "The platform's API answers again.", "down_us", "None.")                \
    X(WATCH_GAP, 702, "watch-gap", EB_LEVEL_INFO,                             \
      "A watch lost events; the objects are listed again.", "kind",           \
      "None, unless it is frequent: the platform keeps too few events.")      \
    X(STORE_READS, 703, "store-reads", EB_LEVEL_NOTICE,                       \
      "This daemon starts or stops reading the objects of a kind from the "   \
      "platform's store; cause is start, source (it passes changes on to "    \
      "others), unconfirmed (no source confirmed what it knows), behind (a "  \
      "source knows more than it can send) or confirmed (it stops).",         \
      "kind,cause,revision",                                                  \
      "None. If unconfirmed repeats, check the links between the daemons.")   \
    X(FEED_INVALID, 704, "feed-invalid", EB_LEVEL_WARNING,                    \
      "A peer sent changes of the store's objects that can't be read; they "  \
      "are read from the store instead.",                                     \
      "peer,kind", "Compare the versions of the two daemons.")                \
    X(WATCH_BROKEN, 705, "watch-broken", EB_LEVEL_INFO,                       \
      "A poll of a watch ended without a response after waited_us: its "      \
      "connection was lost, or it stayed open but transmitted nothing. The "  \
      "objects, known as of revision, are listed again.",                     \
      "kind,revision,waited_us",                                              \
      "None, unless it is frequent: check the network path to the platform.") \
    X(STORE_RESTORED, 706, "store-restored", EB_LEVEL_WARNING,                \
      "The platform's store returned from an older copy of itself: what was " \
      "written since is gone, and revisions are given out again. All "        \
      "objects "                                                              \
      "are listed again.",                                                    \
      "era",                                                                  \
      "Check with the platform's operators that this was intended. Entries "  \
      "of daemons and of the quarantine are written again by themselves.")    \
    X(STORE_ANSWER_OUTDATED, 707, "store-answer-outdated", EB_LEVEL_INFO,     \
      "An answer of the platform's store from before it was restored "        \
      "arrived "                                                              \
      "late and was not used.",                                               \
      "era,current", "None.")                                                 \
    X(AUDIT, 800, "audit", EB_LEVEL_NOTICE,                                   \
      "An operator made or attempted a change; result says which.",           \
      "operator,action,object,from_version,result",                           \
      "None. Keep these lines as the record of changes.")                     \
    X(ADMIN_DENIED, 801, "admin-denied", EB_LEVEL_WARNING,                    \
      "An administration call had no known token, or its operator's role "    \
      "or scope does not allow it. operator is empty when the token is "      \
      "not known.",                                                           \
      "operator,action",                                                      \
      "Check the operator's token, role and scope; repeated calls "           \
      "without an operator may be an attack.")

#endif
