/* node.h: one production instance: the event loop and all modules that run on
   it. */
#ifndef NODE_NODE_H
#define NODE_NODE_H

/* Runs the instance until its planned stop is complete; returns earlier if it
   can't start or only has to check the settings. Returns the process's exit
   status. */
int node_run(int argc, char **argv);

#endif
