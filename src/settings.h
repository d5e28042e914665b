/*
 * Settings of one lwnode, from a TOML file. Command-line options override the
 * file (lwnode.c applies them).
 */
#ifndef LW_SETTINGS_H
#define LW_SETTINGS_H

#include <stdint.h>

#include "platconf.h"
#include "status.h"

typedef struct lw_settings {
	char service[LW_NAME_MAX];
	char zone[LW_NAME_MAX];
	char listen[LW_NAME_MAX]; /* HTTP, for callers and for calls of the local backend server */
	char peer_listen[LW_NAME_MAX]; /* for frames from other nodes */
	char advertise[LW_NAME_MAX]; /* address in the host list; empty: peer_listen */
	char admin[LW_NAME_MAX]; /* /metrics, /status, /drain */
	char backend[LW_NAME_MAX]; /* address of the local backend server */
	uint32_t backend_slots;
	char config_service[LW_NAME_MAX];
	char config_key[LW_NAME_MAX];
	char policy[LW_NAME_MAX]; /* "guard" or "naive" (baseline for measurements) */
	char log_level[LW_NAME_MAX];
	uint32_t drain_timeout_ms;
} lw_settings_t;

void lw_settings_defaults(lw_settings_t *s);
lw_status_t lw_settings_load(const char *path, lw_settings_t *s);
lw_status_t lw_settings_parse(const char *name, const char *text, size_t len, lw_settings_t *s);
lw_status_t lw_settings_check(const char *name, const lw_settings_t *s);
lw_status_t lw_addr_split(const char *addr, char *host, size_t hostlen, int *port);

#endif
