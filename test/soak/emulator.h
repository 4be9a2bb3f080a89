/* Declarations shared by the files of the emulated platform.
 *
 * emulator.c          start, stop, and how requests are read and answered
 * emulator_store.c    the store of the platform
 * emulator_servers.c  model servers, services and stage servers */
#ifndef SOAK_EMULATOR_H
#define SOAK_EMULATOR_H

#include "soak.h"

/* Returns a header of a request, or NULL. */
const char *Emulator_Header(struct evhttp_request *request, const char *name);
void Emulator_AddHeader(struct evhttp_request *request, const char *name,
                        const char *value);

/* Answers with a JSON body and drops the reference to it. */
void Emulator_ReplyJson(struct evhttp_request *request, int status,
                        json_t *body);

/* Returns the JSON body of a request as a new reference, or NULL. */
json_t *Emulator_ReadBody(struct evhttp_request *request);

/* Frees a request whose connection has failed: evhttp leaves that to the
 * handler. */
void Emulator_FreeOrphan(struct evhttp_request *request);

/* emulator_store.c */

void Store_Start(Soak *soak);
void Store_Stop(Soak *soak);

/* Writes an object, or deletes it, and tells the watches. Takes over `spec`.
 */
void Store_Put(Soak *soak, const char *kind, const char *name, json_t *spec,
               bool deleted);

/* emulator_servers.c */

void Servers_Start(Soak *soak);
void Servers_Stop(Soak *soak);

/* Writes the entries of all servers as they are now. */
void Servers_Register(Soak *soak);

#endif
