/* paths.h: detects whether the network path from this instance to the targets
   is interrupted, by its own attempts to connect; pure. A single target that
   can't be reached has ended or is isolated itself; several different ones in a
   row, without one that can be reached, indicate that the instance is
   partitioned from them. */
#ifndef ROUTE_PATHS_H
#define ROUTE_PATHS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Paths Paths;

Paths *paths_new(void);
void paths_free(Paths *p);

/* An attempt to connect to the target at an address (text_hash of it)
   succeeded, or failed; `n_targets` is the number of known targets. */
void paths_note_connected(Paths *p, double now);
void paths_note_failed(Paths *p, double now, uint64_t addr, int n_targets);

/* Whether it is one of the present row of failures. */
bool paths_has_failed(const Paths *p, uint64_t addr);

/* Whether the paths to all targets are considered interrupted. */
bool paths_are_interrupted(const Paths *p);
/* When the interruption was detected. */
double paths_interrupted_since(const Paths *p);
/* Number of targets, other than those of paths_has_failed, to connect to now,
   to find out whether the paths are interrupted or restored. `silent_s`: for
   how long requests have been waiting without a byte from any target; 0: none
   is waiting. */
int paths_due_probes(Paths *p, double now, double silent_s);

#endif
