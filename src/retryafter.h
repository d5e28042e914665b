/*
 * The delay after which a refused caller should retry. Callers that are
 * refused in the same moment would otherwise return in the same moment and be
 * refused again. No I/O.
 */
#ifndef LW_RETRYAFTER_H
#define LW_RETRYAFTER_H

#include <stdint.h>

/* delay where no server gave an estimate, ms */
#define LW_RETRY_AFTER_DEFAULT_MS 250

uint32_t lw_retry_after_ms(uint32_t room_ms, uint32_t priority, uint32_t left_ms, uint32_t random);

#endif
