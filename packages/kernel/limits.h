/* limits.h: every fixed limit and default of the fleet, in one place.

   Terms used here: the home of a budget is the instance that draws grants of
   its tokens from the store, and gives accounts out of them to the holders,
   which make reservations for requests from their accounts. A witness is an
   instance that approves how much a home may give out. A claim is the stored
   record of a request that must not be repeated; a claim shard is stored as a
   head, which is rewritten, and sealed parts. */
#ifndef KERNEL_LIMITS_H
#define KERNEL_LIMITS_H

/* == sizes == */

#define LIMIT_ID_BYTES 48            /* an instance id, "name.incarnation" */
#define LIMIT_NAME_BYTES 64          /* a customer, service or budget name */
#define LIMIT_ADAPTERS_BYTES 256     /* a list of adapters, a;b */
#define LIMIT_BUDGET_SHARDS 256      /* part of the stored format */
#define LIMIT_CLAIM_SHARDS 32        /* part of the stored format */
#define LIMIT_OBJECT_BYTES (1 << 20) /* one platform object */
#define LIMIT_BODY_BYTES (4 << 20)   /* one request body, default */
/* Of one answer, kept for a retry. */
#define LIMIT_KEPT_ANSWER_BYTES (64 << 10)
/* Of one answer, kept in a claim. */
#define LIMIT_CLAIM_ANSWER_BYTES (2 << 10)
/* Of all records of requests with their kept answers; at the product's own
   front it is this part of what callers may make the instance hold, besides. */
#define LIMIT_KEPT_TOTAL_BYTES (32 << 20)
#define LIMIT_KEPT_DIVISOR 8
/* The same part for bills that are not in the store yet. */
#define LIMIT_BILL_DIVISOR 8

/* == buffers for callers and targets that read slowly == */

/* Data that callers have sent, or not yet read, shares one pool of memory. Each
   caller may use half of what is free, within this min and max: many slow
   callers get little each, and one that reads nothing starves no other. */
#define LIMIT_PENDING_MIN_BYTES (16 << 10)
#define LIMIT_PENDING_MAX_BYTES (1 << 20)
/* A caller that reads this much gets more, so that its target sees that the
   answer is read. */
#define LIMIT_PENDING_STEP_BYTES (8 << 10)
/* Kernel send buffer of one caller's socket. With the system's own size, up to
   4 MB, a slow caller's progress shows only in steps of a third of that. */
#define LIMIT_SEND_BUFFER_BYTES (128 << 10)
/* A plain answer, buffered until it is complete. */
#define LIMIT_PLAIN_ANSWER_BYTES (256 << 10)
/* One answer that the product's own front reads whole, and all of them. Their
   buffers may take twice as much. */
#define LIMIT_ANSWER_BYTES (8 << 20)
#define LIMIT_ANSWERS_TOTAL_BYTES (24 << 20)
/* One event of a stream, buffered until it is complete. A target that never
   ends an event would fill the memory. An event of some tokens takes less than
   1 KB. */
#define LIMIT_EVENT_BYTES (64 << 10)
/* Body of an answer to an earlier request, which is read and dropped since the
   right answer may follow on the same connection. */
#define LIMIT_SKIPPED_BYTES (1 << 20)
/* Body of an answer with which a target refuses a request. The request waits
   for its end, so that the connection can be used again. */
#define LIMIT_REFUSAL_BYTES (64 << 10)
/* From the end of an answer without a length and chunks until a connection is
   opened to find out whether its target goes on. A process that ends closes its
   connections and its listening socket one after the other, a thousand in about
   10 ms. */
#define LIMIT_END_CHECK_DELAY_MS 50
/* From the connection until the target answers a request on it, for which it
   needs no free slot. */
#define LIMIT_END_CHECK_ANSWER_MS 500
/* Pieces, such as chunks, of one answer that the blocking client reads as a
   whole. Each costs some 0.1 us and up to 4 KB of extensions, whatever the size
   of its data. 8 MB in pieces of 32 bytes have as many. */
#define LIMIT_ANSWER_PIECES (1 << 18)
/* An empty buffer that is kept for its next use. */
#define LIMIT_IDLE_BUFFER_BYTES (4 << 10)
/* One answer of the platform's store; a longer one is a failed call. */
#define LIMIT_STORE_ANSWER_BYTES (8 << 20)
/* JSON values in one. An empty object has two bytes of text, but takes some 200
   in memory. A page of 500 targets with all their fields has 13,000. */
#define LIMIT_STORE_ANSWER_VALUES 400000
/* JSON values of one entry of a list, other than a configuration. The entry of
   a target has some 20. */
#define LIMIT_STORE_ENTRY_VALUES 1024

/* == what callers make an instance hold (kernel/holdings.h) == */

/* Part of an instance's memory for it, where no setting says more. */
#define LIMIT_CALLER_MEMORY_DIVISOR 4
/* The same at the product's own front. */
#define LIMIT_FRONT_CALLER_MEMORY_DIVISOR 2
/* Stack of the thread of a connection there, as far as it is used. */
#define LIMIT_THREAD_BYTES (32 << 10)
/* Connections there beyond its limit, which end in a moment. */
#define LIMIT_ENDING_CONNECTIONS 64
/* A chat, while it is served, in bodies besides its own: its values or their
   text for the target, which grows by doubling; and one value of JSON. */
#define LIMIT_CHAT_COPIES 2
#define LIMIT_JSON_VALUE_BYTES 200
/* An open connection: its state, and buffers that it keeps for its next
   request. */
#define LIMIT_CONNECTION_BYTES (8 << 10)
/* A request that is served: the smallest buffer of its answer, what one read
   adds to it, and its connection to a target. */
#define LIMIT_SERVED_REQUEST_BYTES (32 << 10)
/* The system's receive buffers, of callers and of the connections to targets on
   their behalf, share a pool as large as the limit: they fill up while the
   process gets no time to read them, or its callers read nothing. At the
   product's own front, whose limit is a larger part of its memory, the pool is
   this part of the limit. */
#define LIMIT_FRONT_RECEIVE_DIVISOR 4
/* A caller's buffer is this part of the pool: one that is smaller than a
   request costs its caller a round trip more. No buffer is larger than the
   second part, of what is left of the pool. */
#define LIMIT_RECEIVE_BUFFER_DIVISOR 1024
#define LIMIT_RECEIVE_LEFT_DIVISOR 512
/* Their sizes: a multiple of the first, from the second to the third, which is
   also that for a long body. The third is the largest window that a connection
   can have whose first one was small. */
#define LIMIT_RECEIVE_STEP_BYTES 1024
#define LIMIT_RECEIVE_BUFFER_BYTES (8 << 10)
#define LIMIT_BODY_RECEIVE_BYTES (64 << 10)
/* Connections for tunnels whose CONNECT has not arrived. */
#define LIMIT_TUNNEL_HEADS 64
/* Connections that wait to be accepted: as many as this part of the pool holds,
   besides, within these bounds. */
#define LIMIT_BACKLOG_DIVISOR 2
#define LIMIT_BACKLOG_MIN 16
#define LIMIT_BACKLOG_MAX 1024
/* A request over this part of the limit is a large one. */
#define LIMIT_LARGE_REQUEST_DIVISOR 64
/* Part of the limit that large requests leave to smaller ones. */
#define LIMIT_SMALL_SHARE_DIVISOR 4
/* Part of the limit that remains to connections without a request that is
   served, whatever answers hold. */
#define LIMIT_ARRIVING_SHARE_DIVISOR 8
/* The smaller requests of a group may hold this times what is left free, so
   that one group has two thirds, and two have two fifths each; likewise the
   bills of a customer. */
#define LIMIT_GROUP_FREE_RATIO 2
/* Descriptors of an instance that callers and the connections to targets on
   their behalf leave to all else, and the part of the others that they use. */
#define LIMIT_RESERVED_FILES 200
#define LIMIT_CALLER_FILES_RATIO 0.75
/* A body of a request for readiness or metrics, which needs none; the
   connections that ask for them, and the memory of these. */
#define LIMIT_STATUS_BODY_BYTES 4096
#define LIMIT_STATUS_CONNECTIONS 64
#define LIMIT_STATUS_MEMORY_BYTES (1 << 20)

/* == requests to targets == */

/* Requests to one target; a higher limit counts as none. */
#define LIMIT_TARGET_RATE_PER_S 1e6
/* Tokens that a request may state in one of its counts; a higher count is taken
   as this one, which no budget has. Sums of counts stay within 64 bits. */
#define LIMIT_REQUEST_TOKENS (INT64_C(1) << 40)
/* Time for which one target may ask not to be sent requests. A longer one is
   cut, so that a wrong figure does not exclude a target for good. */
#define LIMIT_TARGET_RETRY_AFTER_S 3600.0

/* == ledger == */

#define LEDGER_DRAW_WAIT_S 1.5 /* max wait of a reservation for tokens */
/* Until an unanswered draw is sent again. Homes are milliseconds away, and
   requests give up after 0.1 s. */
#define LEDGER_REDRAW_S 0.06
#define LEDGER_RESEND_S 0.3          /* the same for other messages */
#define LEDGER_REPORT_INTERVAL_S 2.0 /* between reports of an account */
/* Seconds of demand that an account covers. After the loss of all instances all
   tokens in accounts count as spent, so larger accounts lose more. */
#define LEDGER_ACCOUNT_S 1.0
/* Seconds of demand that a witness approves in advance, so that not every draw
   needs it. */
#define LEDGER_AGREED_S 2.0
#define LEDGER_ACCOUNT_SMALL_FLEET_S 0.5 /* both, in a small fleet */
#define LEDGER_IDLE_S 20.0 /* tokens beyond this much demand are returned */
/* A grant is sealed, so that nothing more is given out of it, when its home is
   lost for this long. */
#define LEDGER_SEAL_AFTER_S 5.0
/* A sealed grant is written off after a day. */
#define LEDGER_RETIRE_S 86400.0
/* Between writes of spend reports to the store. */
#define LEDGER_WRITE_INTERVAL_S 10.0
#define LEDGER_MIN_DRAW_TOKENS 1024 /* smallest grant requested in advance */
/* Of a budget's total: 97 in 100 have to be usable. */
#define LEDGER_MAX_UNUSED_RATIO 0.02
#define LEDGER_IDLE_CHECK_S 1.0 /* between checks of an idle budget */
/* Priorities of routes, 0 is served first; a budget belongs to one customer, so
   the customer's own priority doesn't matter within it. */
#define LEDGER_PRIORITIES 3
/* Max time that a rejection tells callers to wait for. */
#define LEDGER_MAX_RETRY_MS 60000

/* == records of requests == */

#define ONCE_KEEP_S 600.0     /* a finished request is kept this long */
#define ONCE_CLAIM_WAIT_S 2.0 /* a claim not stored by then is abandoned */
#define ONCE_RESEND_S 0.2
#define ONCE_BILL_BATCH_S 5.0 /* between writes of bills to the store */

/* == claims == */

/* A part is dropped when its home has held it for this long, or when it is a
   day old by the wall clock, which may jump. */
#define CLAIM_KEEP_S 3600.0
#define CLAIM_KEEP_WALL_S 86400
#define CLAIM_SEAL_ENTRIES 96 /* of a head, which are sealed into a part */
#define CLAIM_MERGE_PARTS 16  /* small parts that are merged into one */
#define CLAIM_HEAD_ANSWER_BYTES 8192 /* kept answers in one head */
/* Writes of one shard, on average. */
#define CLAIM_SHARD_WRITES_PER_S 1.0
#define CLAIM_SHARD_WRITES_SMALL_FLEET_PER_S 4.0
#define CLAIM_LINGER_S 1.0 /* outcomes wait this long to share a write */
#define CLAIM_IDLE_S 60.0  /* until an unused shard is dropped from memory */

/* == fleet sizes == */

/* With fewer instances each reports every request to all others and reads the
   store for itself, so that messages grow with the square of their number. From
   this number on a few instances read for all, and each estimates what the
   others do. */
#define FLEET_SMALL_INSTANCES 12

/* == members == */

/* Up to here all pairs use the same heartbeat interval. */
#define MEMBER_SMALL_INSTANCES 32
#define MEMBER_HEARTBEAT_S 0.5 /* heartbeat interval of a small fleet */
/* Max bytes of heartbeats, which lengthens their interval; then the same of a
   larger fleet, within the region and to other regions. */
#define MEMBER_BYTES_PER_S 3000
#define MEMBER_NEAR_BYTES_PER_S 1500
#define MEMBER_FAR_BYTES_PER_S 300
#define MEMBER_MAX_MISSED_HEARTBEATS 6 /* until a member counts as lost */
#define MEMBER_POLL_S 1.0 /* between reads of the platform's list */

/* == rates of the platform's store == */

/* Delay before a retry, doubled, with jitter. */
#define STORE_BACKOFF_MIN_S 0.2
/* Retries of 256 shards at this pace stay under the platform's 400 writes and
   2,000 reads a second. */
#define STORE_BACKOFF_MAX_S 1.0
/* Max of one instance. */
#define STORE_WRITES_PER_S 10.0
#define STORE_READS_PER_S 40.0
/* Max of the whole fleet. The platform accepts 100 writes and 2,000 reads;
   lists and watches come on top of the reads. */
#define STORE_FLEET_WRITES_PER_S 80.0
#define STORE_FLEET_READS_PER_S 1200.0

#endif
