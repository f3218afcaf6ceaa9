/* node.h: one instance on the users' machines: the event loop, and everything
   that runs on it. */
#ifndef NODE_NODE_H
#define NODE_NODE_H

/* Runs until a planned stop is over; the exit status of the process. */
int node_run(int argc, char **argv);

#endif
