/* format.h: constants of the wire format, for encode.c and decode.c only. */
#ifndef PEER_FORMAT_H
#define PEER_FORMAT_H

#define FORMAT_VERSION 1 /* version of the frame format, sent in its head */
/* Numbers with a fraction are multiplied by this and sent as integers. */
#define FORMAT_FRACTION_SCALE 1000.0
#define FORMAT_COUNT_MAX 1000000000000000 /* a double holds it exactly */

#endif
