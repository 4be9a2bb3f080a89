/* Declarations shared by the files of test_batcher: a batcher on a virtual
 * clock, and what it did. */
#ifndef EB_TEST_BATCHER_H
#define EB_TEST_BATCHER_H

#include <glib.h>

#include "ebonyhollow/batcher.h"

#define SERVICE "encode"
#define CALL_US 200000
#define ITEM_US 10000
#define MAX_ITEMS 8
#define SECOND_US INT64_C(1000000)

typedef struct {
    EbActionQueue *actions;
    EbBatcher *batcher;
    EbDirectives *directives;
    EbEvacuations *evacuations;
    EbRandom random;
    EbConfig *config;
    int64_t now_us;
    EbAction call; /* the last call sent */
    unsigned call_count;
    GPtrArray *released; /* of char *, handles that servers had to free */
} Fixture;

/* Returns a configuration with `servers` servers of one service. */
EbConfig *Fixture_MakeConfig(uint32_t servers, uint64_t result_memory_bytes);

/* Creates a batcher with `servers` servers of one service. */
void Fixture_Open(Fixture *fixture, uint32_t servers,
                  uint64_t result_memory_bytes);

void Fixture_Close(Fixture *fixture);

/* Processes the queued actions. Returns the number of calls sent. */
unsigned Fixture_ProcessActions(Fixture *fixture);

/* Adds a job of the requester "i-1"; the second form names the request after
 * the job. */
void Fixture_AddJobOfRequest(Fixture *fixture, const char *id, uint64_t job,
                             uint32_t items, int64_t due_us);

void Fixture_AddJob(Fixture *fixture, uint64_t job, uint32_t items,
                    int64_t due_us);

/* Returns an item of the last call. */
const EbWorkItem *Fixture_CallItem(const Fixture *fixture, guint index);

guint Fixture_CallItemCount(const Fixture *fixture);

/* Answers the last call with the same kind of result for all items. */
void Fixture_AnswerCall(Fixture *fixture, EbWorkItemResultKind kind);

/* Takes the next result, which must be of `job`. */
EbPreparedStatus Fixture_ExpectStatus(Fixture *fixture, uint64_t job);

/* Lets time pass with regular ticks. Returns the number of results freed so
 * far. */
guint Fixture_ReleasedAfter(Fixture *fixture, int64_t for_us);

/* requesters.c */

void test_requester_lost(void);
void test_requester_linked(void);
void test_results_requested_again(void);
void test_release_for_other_daemon(void);
void test_job_number_reused(void);
void test_abandon_home(void);

/* evacuations.c */

void test_evacuated_servers(void);
void test_evacuated_service(void);

/* places.c */

void test_local_work(void);
void test_input_domain(void);

#endif
