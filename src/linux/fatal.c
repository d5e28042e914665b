/* Log lines of a process that a fatal signal ends; see fatal.h. */
#include "fatal.h"

#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <string.h>
#include <ucontext.h>

#include "../log.h"

/* the stack of the handler, in bytes: that of the thread may be exhausted */
#define STACK_BYTES 65536

/* first byte of the program in memory, set by the linker */
extern const char program_start[] __asm__("__executable_start");

static struct {
	lw_fatal_report_fn report;
	void *ctx;
	pthread_t thread; /* the only one that may read what the report is about */
} fatal;

/* address of the instruction at which the signal was raised; 0: unknown processor */
static uintptr_t instruction_of(const ucontext_t *uc)
{
#if defined(__x86_64__)
	return (uintptr_t)uc->uc_mcontext.gregs[REG_RIP];
#elif defined(__aarch64__)
	return (uintptr_t)uc->uc_mcontext.pc;
#else
	(void)uc;
	return 0;
#endif
}

/*
 * Signal handler. The signal is at its default action again, which ends the process as if there had
 * been no handler; a second fault, in the report, does the same at once.
 */
static void on_fatal_signal(int sig, siginfo_t *info, void *uc)
{
	uintptr_t at = instruction_of(uc) - (uintptr_t)program_start;

	(void)info;
	lw_log_begin_emergency();
	lw_log_emergency(LW_LOG_process_failed, "signal=%d at=%#lx", sig, (unsigned long)at);
	if (fatal.report && pthread_equal(pthread_self(), fatal.thread))
		fatal.report(fatal.ctx);
	raise(sig);
}

/*
 * lw_fatal_install() - from now on a fatal signal leaves an event in the log before it ends the
 * process, and the lines that @report writes by lw_log_emergency().
 */
void lw_fatal_install(lw_fatal_report_fn report, void *ctx)
{
	static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP };
	static char stack[STACK_BYTES];
	const stack_t alternate = { .ss_sp = stack, .ss_size = sizeof(stack) };
	struct sigaction action = { .sa_sigaction = on_fatal_signal,
				    .sa_flags = SA_SIGINFO | SA_RESETHAND | SA_ONSTACK };

	fatal.report = report;
	fatal.ctx = ctx;
	fatal.thread = pthread_self();
	sigaltstack(&alternate, NULL);
	sigemptyset(&action.sa_mask);
	for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		sigaction(signals[i], &action, NULL);
}
