/* Monotonic time and condition variables on the monotonic clock. */
#ifndef LW_LINUX_CLOCK_H
#define LW_LINUX_CLOCK_H

#include <pthread.h>
#include <stdint.h>

uint64_t lw_now_ms(void);
uint64_t lw_now_us(void);
uint64_t lw_now_boot_us(void);
uint64_t lw_now_unix_ms(void);
void lw_cond_init_monotonic(pthread_cond_t *c);
int lw_cond_wait_until(pthread_cond_t *c, pthread_mutex_t *m, uint64_t until_ms);

#endif
