/* node.h: one production instance: the event loop and everything that runs on
   it. */
#ifndef NODE_NODE_H
#define NODE_NODE_H

/* Runs until a planned stop is complete; returns the process's exit status. */
int node_run(int argc, char **argv);

#endif
