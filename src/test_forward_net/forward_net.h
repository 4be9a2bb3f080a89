/* Declarations shared by the files of test_forward_net. */
#ifndef EB_TEST_FORWARD_NET_H
#define EB_TEST_FORWARD_NET_H

#include "ebonyhollow/forward.h"

#define ID "X-Id"
#define HEAD "HTTP/1.1 200 OK\r\n" ID ": r-1\r\n"

extern const EbForwardProtocol test_protocol;

/* reader.c: EbHttpReader and EbEventSplitter */

void test_reader(void);
void test_header_limit(void);
void test_endless_bytes(void);
void test_small_chunks(void);
void test_event_splitter(void);

/* messages.c: EbHttpReader, several messages on a connection */

void test_message_trailers(void);
void test_message_interim(void);
void test_message_status(void);
void test_message_no_body(void);
void test_message_upgrade(void);

/* client.c: EbForwardClient */

void test_client_responses(void);
void test_client_cut_responses(void);
void test_client_late_copy(void);
void test_client_endless_late_body(void);
void test_client_endless_stream(void);
void test_client_endless_bodies(void);
void test_client_announced_bodies(void);
void test_client_endless_events(void);
void test_client_connection_limit(void);
void test_client_refused(void);
void test_client_reset_upload(void);
void test_client_invalid(void);
void test_client_cancel(void);
void test_client_timeout(void);
void test_release_calls(void);

/* server.c: EbForwardServer */

void test_server_rejects(void);
void test_server_error_responses(void);
void test_server_stream(void);
void test_server_no_body(void);
void test_server_stream_head(void);
void test_server_pipelined(void);
void test_server_trailers(void);
void test_server_unread_answers(void);
void test_server_slow_reader(void);
void test_server_limits(void);
void test_server_idle_timeout(void);
void test_server_slow_head(void);
void test_server_memory(void);
void test_server_connections(void);
void test_server_descriptors(void);
void test_server_descriptor_limit(void);
void test_server_caller_gone(void);
void test_server_drain(void);
void test_server_drain_arrived(void);

#endif
