/*
 * Status codes. A function that fails returns a status code and records a message
 * that names the remedy; read it with lw_error_last().
 */
#ifndef LW_STATUS_H
#define LW_STATUS_H

typedef enum lw_status {
	LW_OK = 0,
	LW_ERR_ARGS, /* invalid command line */
	LW_ERR_SETTINGS, /* invalid settings file */
	LW_ERR_CONFIG, /* invalid configuration document */
	LW_ERR_IO, /* socket, file or HTTP failure */
	LW_ERR_TIMEOUT, /* timeout */
	LW_ERR_PROTO, /* malformed frame from a peer */
	LW_ERR_STALE, /* configuration not newer than the one in force */
} lw_status_t;

lw_status_t lw_error(lw_status_t kind, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
const char *lw_error_last(void);
const char *lw_status_name(lw_status_t st);

#endif
