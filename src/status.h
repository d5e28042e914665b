/*
 * Status codes with a last message. A failing call returns a status kind
 * and leaves a message naming the remedy, read with lw_error_last().
 */
#ifndef LW_STATUS_H
#define LW_STATUS_H

typedef enum lw_status {
	LW_OK = 0,
	LW_ERR_ARGS, /* bad command line */
	LW_ERR_SETTINGS, /* bad node settings file */
	LW_ERR_CONFIG, /* bad platform configuration document */
	LW_ERR_IO, /* socket, file or HTTP failure */
	LW_ERR_TIMEOUT, /* nothing came in the time given */
	LW_ERR_PROTO, /* malformed frame from a peer */
	LW_ERR_STALE, /* a configuration not newer than the one held */
} lw_status_t;

lw_status_t lw_error(lw_status_t kind, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
const char *lw_error_last(void);
const char *lw_status_name(lw_status_t st);

#endif
