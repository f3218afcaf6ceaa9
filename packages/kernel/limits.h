/* limits.h: every fixed limit and default of the fleet, in one place. */
#ifndef KERNEL_LIMITS_H
#define KERNEL_LIMITS_H

/* == sizes == */

#define LIMIT_ID_BYTES 48           /* bytes of an instance id, "name.incarnation" */
#define LIMIT_NAME_BYTES 64         /* bytes of a customer, service or budget name */
#define LIMIT_ADAPTERS_BYTES 256    /* bytes of a list of adapters, a;b */
#define LIMIT_BUDGET_SHARDS 256      /* budget shards; part of the stored format */
#define LIMIT_CLAIM_SHARDS 32 /* claim shards; stored format too */
#define LIMIT_OBJECT_BYTES (1 << 20) /* bytes of one platform object */
#define LIMIT_BODY_BYTES (4 << 20)  /* bytes of one request body, default */
#define LIMIT_KEPT_ANSWER_BYTES (64 << 10)      /* bytes kept of one answer for a retry */
#define LIMIT_CLAIM_ANSWER_BYTES (2 << 10) /* bytes of an answer kept in a claim */
#define LIMIT_KEPT_TOTAL_BYTES (32 << 20) /* bytes of kept answers an instance holds */

/* == bytes held for callers and targets that read slowly == */

/* What callers send and have not taken yet shares one room, a part of the
   memory. Of it each caller may have half of what is free, within these: many
   slow ones get little each, and who reads nothing takes nobody's. */
#define LIMIT_PENDING_MIN_BYTES (16 << 10)
#define LIMIT_PENDING_MAX_BYTES (1 << 20)
/* Who takes so much gets more: its target sees that its answer is read. */
#define LIMIT_PENDING_STEP_BYTES (8 << 10)
/* Of the system's buffer to one caller: with its own choice, up to 4 MB, a slow
   caller's progress would be seen only in steps of a third of that. */
#define LIMIT_SEND_BUFFER_BYTES (128 << 10)
#define LIMIT_PLAIN_ANSWER_BYTES                                                     \
  (256 << 10) /* of a plain answer, until it is whole */
#define LIMIT_IDLE_BUFFER_BYTES                                                      \
  (32 << 10) /* of an empty buffer, for its next use                           \
              */
#define LIMIT_STORE_ANSWER_BYTES                                                     \
  (8 << 20) /* of one answer of the platform's store                           \
             */

/* == requests to targets == */

#define LIMIT_TARGET_RATE_PER_S 1e6 /* a second, to one target: a higher bound is none */

/* == ledger, seconds and tokens == */

#define LEDGER_DRAW_WAIT_S 1.5 /* a reservation waits this long for tokens */
#define LEDGER_REDRAW_S                                                          \
  0.06                    /* an unanswered draw goes out again; homes are      \
                             milliseconds away, and requests give up           \
                             after 0.1 s */
#define LEDGER_RESEND_S 0.3 /* an unanswered message goes out again */
#define LEDGER_REPORT_INTERVAL_S 2.0 /* an account is reported this often */
/* An account covers this much demand: what lies in more of them counts as spent
   after a loss of all. */
#define LEDGER_ACCOUNT_S 1.0
/* A witness agrees to this much demand ahead, so that not each draw needs it.
 */
#define LEDGER_AGREED_S 2.0
#define LEDGER_ACCOUNT_SMALL_FLEET_S 0.5 /* the same in a small fleet */
#define LEDGER_IDLE_S 20.0         /* more than this much demand is given back */
#define LEDGER_SEAL_AFTER_S 5.0    /* a grant's home is gone this long */
#define LEDGER_RETIRE_S 86400.0    /* a sealed grant is written off after a day */
#define LEDGER_WRITE_INTERVAL_S 10.0  /* spend reports reach the store this often */
#define LEDGER_MIN_DRAW_TOKENS 1024     /* smallest grant asked for without need */
#define LEDGER_MAX_UNUSED_RATIO 0.02       /* of a total: 97 in 100 have to be usable */
#define LEDGER_IDLE_CHECK_S 1.0          /* a budget at rest is looked at this often */

/* == records of requests, seconds == */

#define ONCE_KEEP_S 600.0 /* a finished request can be asked for again */
#define ONCE_CLAIM_WAIT_S 2.0   /* a claim that is not kept by then is given up */
#define ONCE_RESEND_S 0.2
#define ONCE_BILL_BATCH_S 5.0 /* bills become durable this often */

/* == claims == */

#define CLAIM_KEEP_S 3600.0    /* seconds that a home holds a part, at least */
#define CLAIM_KEEP_WALL_S 86400 /* by the wall clock, which may jump, a day */
#define CLAIM_SEAL_ENTRIES 96        /* entries of a head that are sealed into a part */
#define CLAIM_MERGE_PARTS 16       /* small parts that are joined into one */
#define CLAIM_HEAD_ANSWER_BYTES 8192    /* bytes of kept answers in one head */
#define CLAIM_SHARD_WRITES_PER_S 1.0     /* writes a second of one shard in the long run */
#define CLAIM_SHARD_WRITES_SMALL_FLEET_PER_S 4.0 /* the same in a small fleet */
#define CLAIM_LINGER_S 1.0       /* outcomes wait this long for company */
#define CLAIM_IDLE_S 60.0        /* a shard that nobody asks for is forgotten */

/* == sizes of a fleet == */

/* Fewer instances tell each other of each request and read the store for
   themselves; messages grow with the square of them. From here on some read
   for all, and each guesses what the others do. */
#define FLEET_SMALL_INSTANCES 12

/* == members, seconds == */

#define MEMBER_SMALL_INSTANCES 32   /* instances that all hear of each other alike */
#define MEMBER_HEARTBEAT_S 0.5   /* heartbeat interval of a small fleet */
#define MEMBER_BYTES_PER_S 3000 /* heartbeat bytes a second at most; stretches it */
#define MEMBER_NEAR_BYTES_PER_S 1500  /* the same of a larger fleet, in the region */
#define MEMBER_FAR_BYTES_PER_S 300    /* and beyond */
#define MEMBER_MAX_MISSED_HEARTBEATS 6   /* heartbeats missed until a member is gone */
#define MEMBER_POLL_S 1.0   /* the platform's list is read this often */

/* == platform rates, calls a second == */

#define STORE_BACKOFF_MIN_S 0.2 /* seconds until a retry, doubled, jittered */
/* 256 shards read again at this pace stay under the 400 writes and 2,000
   reads a second of the users' sheets. */
#define STORE_BACKOFF_MAX_S 1.0
#define STORE_WRITES_PER_S 10.0 /* of one instance at most */
#define STORE_READS_PER_S 40.0
#define STORE_FLEET_WRITES_PER_S 80.0  /* of the whole fleet; the platform takes 100 */
#define STORE_FLEET_READS_PER_S 1200.0 /* and 2,000; lists and watches come on top */

#endif
